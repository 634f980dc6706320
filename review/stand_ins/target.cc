#include "review/stand_ins/target.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace lynxglade::review {

namespace {

// Requests that run or wait at most, in multiples of the slots.
constexpr int kQueueFactor = 8;
// An entry is removed after three heartbeats of silence.
constexpr Millis kEntryTimeout{3600};
constexpr Millis kDownTime{4000};
constexpr Millis kPoll{20};

}  // namespace

Target::Target(TargetSettings settings, Record& record)
    : settings_(std::move(settings)),
      record_(record),
      port_(FreePort()),
      server_(std::make_unique<HttpServer>(
          port_,
          [this](const Message& request) { return Handle(request); })) {}

Target::~Target() {
  stopped_ = true;
  if (supervisor_.joinable()) {
    supervisor_.join();
  }
  ++lifetime_;
  server_.reset();
}

std::string Target::Id() const {
  return settings_.id + '-' + std::to_string(lifetime_);
}

std::string Target::Entry(int cold_ms) const {
  return nlohmann::json{{"backend", settings_.service},
                        {"address", "127.0.0.1:" + std::to_string(port_)},
                        {"zone", settings_.zone},
                        {"version", "v1"},
                        {"slots", settings_.slots},
                        {"phase", "ready"},
                        {"coldRemainingMs", cold_ms},
                        {"sequence", 1}}
      .dump();
}

void Target::End() {
  record_.Write("target " + Id() + " exits");
  ++lifetime_;
  server_->End();
}

void Target::Register(Store& store) {
  store.Put(Key(), Entry());
  supervisor_ = std::thread([this, &store] { Supervise(store); });
}

void Target::Supervise(Store& store) {
  std::string key = Key();
  while (!stopped_) {
    std::this_thread::sleep_for(kPoll);
    if (!crashed_) {
      continue;
    }
    std::this_thread::sleep_for(kEntryTimeout);
    store.Remove(key);
    std::this_thread::sleep_for(kDownTime - kEntryTimeout);
    server_->End();
    server_ = std::make_unique<HttpServer>(
        port_, [this](const Message& request) { return Handle(request); });
    crashed_ = false;
    key = Key();
    store.Put(key, Entry());
    record_.Write("target " + Id() + " is back");
  }
}

std::vector<TargetRun> Target::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::optional<std::string> Target::Handle(const Message& request) {
  const int lifetime = lifetime_;
  const std::string id = request.Header("lynxglade-attempt-id");
  const std::string common = "Lynxglade-Attempt-Id: " + id + "\r\n";
  const std::string own_id = "Lynxglade-Instance-Id: " + Id() + "\r\n";
  const std::string expected = request.Header("lynxglade-expect-instance");
  if (!expected.empty() && expected != Id()) {
    return Answer(421, common + own_id, {});
  }
  if (request.start.starts_with("GET /healthz")) {
    return Answer(200, common + own_id, {});
  }
  if (running_ >= settings_.slots * kQueueFactor) {
    return Answer(503, common + "Lynxglade-Not-Executed: 1\r\n", {});
  }
  const bool crashes = request.body == kCrashingBody;
  std::size_t run = 0;
  {
    const std::lock_guard lock(mutex_);
    run = runs_.size();
    runs_.push_back({.id = id, .began = record_.Now(), .crashed = crashes});
  }
  record_.Write("target " + Id() + " runs " + id);
  if (crashes) {
    if (!crashed_.exchange(true)) {
      record_.Write("target " + Id() + " crashes");
      ++lifetime_;
      if (settings_.goes_dark) {
        server_->GoDark();
      } else {
        server_->End();
      }
    }
    return std::nullopt;
  }
  ++running_;
  std::this_thread::sleep_for(settings_.work);
  --running_;
  if (lifetime_ != lifetime) {
    record_.Write("target " + settings_.id + " broke off " + id);
    return std::nullopt;
  }
  {
    const std::lock_guard lock(mutex_);
    runs_[run].done = true;
  }
  return Answer(200,
                common + "Lynxglade-Instance-Signature: " + settings_.id + '.' +
                    id + "\r\n",
                "answer of " + settings_.id + " to " + id);
}

}  // namespace lynxglade::review
