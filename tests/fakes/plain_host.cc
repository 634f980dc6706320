#include "fakes/plain_host.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "fakes/chat_wire.h"
#include "fakes/details/http_server.h"
#include "fakes/details/linked_ports.h"

namespace lynxglade::fakes {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr base::Duration kHold = std::chrono::milliseconds(20);
constexpr double kDefaultDownMs = 1000;
constexpr int kUnavailable = 503;

const std::map<std::string, double>& FaultDefaults() {
  static const std::map<std::string, double> defaults = {
      {"hang", 0},
      {"reset_before", 0},
      {"reset_after", 0},
      {"truncate", 0},
      {"crossed", 0},
      {"overloaded", 0},
      {"draining", 0},
      {"never_answer", 0},
      {"slow_ms", 0},
      {"fail_500", 0},
      {"down_ms", kDefaultDownMs}};
  return defaults;
}

base::Duration Millis(double ms) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// Accepts the header of callers and that of the system.
std::string KeyOf(const Request& req) {
  const std::string key = req.get_header_value("Idempotency-Key");
  return key.empty() ? req.get_header_value("X-Idempotency-Key") : key;
}

// Announces the length of the whole body but sends only half of it.
void SendHalf(const std::string& body, Response& res) {
  res.set_content_provider(
      body.size(), "application/json",
      [body](std::size_t offset, std::size_t, httplib::DataSink& sink) {
        if (offset > 0) {
          return false;
        }
        return sink.write(body.data(), body.size() / 2);
      });
}

}  // namespace

PlainHost::PlainHost(PlainHostSettings settings)
    : settings_(std::move(settings)),
      started_ms_(base::WallMillis()),
      ports_(std::make_unique<LinkedPorts>(
          LinkedPorts::Settings{settings_.address, settings_.port,
                                settings_.links, settings_.link_stride,
                                kDefaultIdleTimeout},
          [this](httplib::Server& server) { AddRoutes(server); },
          [this](const std::string&) { return Value("hang") != 0; })),
      faults_(FaultDefaults()) {}

PlainHost::~PlainHost() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
  ports_->Close();
}

bool PlainHost::Start() {
  if (!ports_->Open()) {
    return false;
  }
  thread_ = std::thread([this] { CrashLoop(); });
  return true;
}

int PlainHost::port() const {
  return ports_->port();
}

void PlainHost::ApplyFaults(const json& switches) {
  if (ports_->ApplyFaults(switches)) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    faults_.Apply(switches);
    if (switches.value("clear", false) || switches.contains("poison")) {
      poison_ = switches.value("poison", "");
    }
    const auto crash = switches.find("crash");
    if (crash != switches.end() && *crash != false) {
      const double down = faults_.Value("down_ms");
      crash_ =
          Millis(crash->is_object() ? crash->value("down_ms", down) : down);
    }
  }
  wake_.notify_all();
}

json PlainHost::JournalJson() const {
  const std::lock_guard lock(mutex_);
  return {{"engine", settings_.id},
          {"service", settings_.service},
          {"incarnation", IncarnationText()},
          {"runs", journal_.RunsJson()},
          {"refusals", journal_.RefusalsJson()}};
}

void PlainHost::AddRoutes(httplib::Server& server) {
  server.Post("/fault", [this](const Request& req, Response& res) {
    const json body = ParseObject(req.body);
    if (body.is_discarded()) {
      AnswerJson(res, 400, NotRunError("bad_request", "not a JSON object"));
      return;
    }
    ApplyFaults(body);
    AnswerJson(res, 200, {{"applied", 1}});
  });
  server.Get("/journal", [this](const Request&, Response& res) {
    AnswerJson(res, 200, JournalJson());
  });
  server.Get("/v1/load", [this](const Request&, Response& res) {
    AnswerJson(res, 200, LoadJson());
  });
  const auto serve = [this](const Request& req, Response& res) {
    Serve(req, res);
  };
  server.Get(".*", serve);
  server.Post(".*", serve);
  server.Put(".*", serve);
  server.Patch(".*", serve);
  server.Delete(".*", serve);
}

void PlainHost::Serve(const Request& req, Response& res) {
  if (Take("reset_before") || !OwnConnectionAlive()) {
    ResetOwnConnection();
    return;
  }
  res.set_header("X-Attempt-Id", req.get_header_value("X-Attempt-Id") +
                                     (Take("crossed") ? "-other" : ""));
  if (const std::optional<std::string> code = TakeRefusal()) {
    const std::lock_guard lock(mutex_);
    journal_.AddRefusal({req.get_header_value("X-Request-Id"),
                         req.get_header_value("X-Attempt-Id"), *code,
                         base::WallMillis()});
    AnswerJson(res, kUnavailable, NotRunError(*code, settings_.id));
    return;
  }
  const RunIndex run = BeginRun(req);
  Work(req);
  if (!EndRun(run, RunState::kFinished)) {
    ResetOwnConnection();
    return;
  }
  Answer(req, run, res);
}

std::optional<std::string> PlainHost::TakeRefusal() {
  const std::lock_guard lock(mutex_);
  if (faults_.Take("draining")) {
    return "draining";
  }
  if (faults_.Take("overloaded") || running_ >= settings_.limit) {
    return "overloaded";
  }
  return std::nullopt;
}

RunIndex PlainHost::BeginRun(const Request& req) {
  const std::lock_guard lock(mutex_);
  ++running_;
  RunRecord record;
  record.request_id = req.get_header_value("X-Request-Id");
  record.attempt_id = req.get_header_value("X-Attempt-Id");
  record.idempotency_key = KeyOf(req);
  record.prompt_hash =
      HashPrompt(req.method + ' ' + req.target + '\n' + req.body);
  record.incarnation = incarnation_;
  record.state = RunState::kStarted;
  record.ran = true;
  record.queued_ms = base::WallMillis();
  if (!poison_.empty() && req.body.find(poison_) != std::string::npos) {
    crash_ = Millis(faults_.Value("down_ms"));
    wake_.notify_all();
  }
  return journal_.Add(std::move(record));
}

void PlainHost::Work(const Request& req) {
  std::unique_lock lock(mutex_);
  const std::int64_t incarnation = incarnation_;
  const base::Duration time = settings_.work + Millis(faults_.Value("slow_ms"));
  // A pending crash interrupts the work.
  const auto ended = [&] {
    return stopping_ || crash_ || incarnation_ != incarnation;
  };
  wake_.wait_for(lock, time, ended);
  if (ended()) {
    wake_.wait(lock, [&] { return stopping_ || incarnation_ != incarnation; });
  }
}

bool PlainHost::EndRun(RunIndex run, RunState end_state) {
  const std::lock_guard lock(mutex_);
  --running_;
  journal_.End(run, end_state, base::WallMillis());
  return journal_.at(run).state == end_state;
}

void PlainHost::Answer(const Request& req, RunIndex run, Response& res) {
  if (Take("never_answer")) {
    while (OwnConnectionAlive()) {
      std::this_thread::sleep_for(kHold);
    }
  }
  // The call ran; its response is held until the cut ends.
  while (OwnLinkCut() && OwnConnectionAlive()) {
    std::this_thread::sleep_for(kHold);
  }
  if (Take("reset_after") || !OwnConnectionAlive()) {
    ResetOwnConnection();
    return;
  }
  if (Take("fail_500")) {
    AnswerJson(res, 500, {{"error", {{"code", "internal"}}}});
    return;
  }
  const json body = {{"service", settings_.service},
                     {"target", settings_.id},
                     {"method", req.method},
                     {"path", req.target},
                     {"echo", req.body},
                     {"run", run}};
  if (Take("truncate")) {
    SendHalf(body.dump(-1, ' ', false, json::error_handler_t::replace), res);
    return;
  }
  AnswerJson(res, 200, body);
}

json PlainHost::LoadJson() const {
  const std::lock_guard lock(mutex_);
  return {{"engine", settings_.id},
          {"incarnation", IncarnationText()},
          {"seq", base::WallMillis() - started_ms_},
          {"generated_at_ms", base::WallMillis()},
          {"running", running_},
          {"draining", faults_.IsOn("draining")}};
}

std::string PlainHost::IncarnationText() const {
  return std::to_string(started_ms_) + "-" + std::to_string(incarnation_);
}

bool PlainHost::Take(const std::string& name) {
  const std::lock_guard lock(mutex_);
  return faults_.Take(name);
}

double PlainHost::Value(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return faults_.Value(name);
}

// Waits for crash requests and simulates them.
void PlainHost::CrashLoop() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || crash_; });
    if (stopping_) {
      return;
    }
    const base::Duration down = *std::exchange(crash_, std::nullopt);
    ++incarnation_;
    for (RunIndex i = 0; i < journal_.runs().size(); ++i) {
      journal_.End(i, RunState::kCrashed, base::WallMillis());
    }
    wake_.notify_all();
    lock.unlock();
    ports_->Close();
    lock.lock();
    wake_.wait_for(lock, down, [this] { return stopping_; });
    if (!stopping_ && !ports_->Open()) {
      base::Log(base::LogLevel::kError, "plain_cannot_reopen",
                {{"target", settings_.id}});
    }
  }
}

}  // namespace lynxglade::fakes
