#include "platform/relay_fixture.h"

#include <utility>

#include "connection/raw_client.h"
#include "platform/target_protocol.h"

namespace lynxglade::platform {

namespace {

using connection::ScriptedServer;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::CallerServer;
using connection::event::CallerServerLimits;
using connection::event::LoopThread;
using connection::event::Tcp;
using request::passthrough::EngineEntry;
using request::passthrough::EngineStage;
using request::passthrough::Route;
using request::passthrough::RouteKind;
using request::passthrough::RouteTable;
using request::passthrough::ServiceTerms;
using tests::RawClient;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;
namespace asio = connection::event::asio;

Route MakeRoute(const std::string& prefix, RouteKind kind, int attempts) {
  Route route;
  route.name = prefix;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.max_attempts = attempts;
  route.timeout = std::chrono::seconds(20);
  route.shares = {{base::ServiceName("s"), 1}};
  return route;
}

}  // namespace

std::string Header(const std::string& request, const std::string& name) {
  const std::size_t at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 4;
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string Echo(const std::string& request) {
  return "Lynxglade-Attempt-Id: " + Header(request, "Lynxglade-Attempt-Id") +
         "\r\n";
}

Reply Answer(const std::string& request,
             const std::string& status,
             const std::string& body,
             const std::string& more) {
  return {"HTTP/1.1 " + status + "\r\n" + Echo(request) + more +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

Reply Ok(const std::string& request) {
  return Answer(request, "200 OK", "fine");
}

Reply NotRun(const std::string& request) {
  return Answer(request, "503 Service Unavailable", "",
                "Lynxglade-Not-Executed: 1\r\n");
}

Reply PrefillDone(const std::string& request) {
  return Answer(request, "200 OK",
                R"({"kvHandle":"k1","tokens":17020,"version":1})", "");
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string StreamHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

std::string UnframedStreamHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
         "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
}

Reply Stream(const std::string& request, int first, int last, Then then) {
  std::string bytes = StreamHead(request);
  for (int id = first; id <= last; ++id) {
    bytes += Chunk(Event(id));
  }
  if (then == Then::kKeep) {
    bytes += "0\r\n\r\n";
  }
  return {bytes, then};
}

std::shared_ptr<const RouteTable> MakeRoutes() {
  Route resumable = MakeRoute("/resumable/", RouteKind::kStream, 2);
  resumable.resumable = true;
  return std::make_shared<const RouteTable>(
      1,
      std::vector<Route>{MakeRoute("/safe/", RouteKind::kIdempotent, 2),
                         MakeRoute("/unsafe/", RouteKind::kNonIdempotent, 1),
                         MakeRoute("/stream/", RouteKind::kStream, 1),
                         resumable},
      std::vector<ServiceTerms>{}, request::passthrough::CallerLimits{});
}

bool IsStatus(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status);
}

RelayTest::RelayTest() = default;

RelayTest::~RelayTest() {
  thread_.reset();
}

void RelayTest::StartRelay() {
  relay_ = std::make_unique<request::passthrough::Relay>(
      request::passthrough::RelayDependencies{
          .loop = loop_,
          .channels = channels_,
          .engines = engines_,
          .picker = picker_,
          .prefill_times = prefill_times_,
          .generation_times = generation_times_,
          .answers = answers_,
          .forecast_errors = forecast_errors_,
          .served_shares = served_shares_,
          .retry_budget = retry_budget_,
          .limits = limits_,
          .quarantine = quarantine_,
          .crash_checks = crash_checks_,
          .zones = zones_,
          .run_times = run_times_,
          .metrics = metrics_,
          .clock = base::BootClock::now,
          .random = base::SeededRandom(1),
          .protocol = MakeTargetProtocol(),
          .routes = [this] { return routes_; },
          .accepts = [this] { return accepts_; },
          .time_to_stop = [this] { return time_to_stop_; },
          .instances = [] { return 1; },
          .view_age = [this] { return view_age_; },
          .on_run = [this](
                        const base::OrganisationId& organisation,
                        base::Time) { runs_.push_back(organisation.str()); }},
      options_);
  server_ = std::make_unique<CallerServer>(
      loop_,
      connection::event::CallerServerOptions{
          .endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0)},
      [] { return CallerServerLimits(); },
      [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
        return relay_->Serve(std::move(request), reply);
      },
      base::BootClock::now, metrics_);
  std::string reason;
  ASSERT_TRUE(server_->Start(&reason)) << reason;
  thread_.emplace(loop_);
}

ScriptedServer& RelayTest::AddTarget(ScriptedServer::Handler handler,
                                     EngineStage stage) {
  targets_.push_back(std::make_unique<ScriptedServer>(std::move(handler)));
  EngineEntry entry;
  entry.id = base::TargetId("t" + std::to_string(targets_.size() - 1));
  entry.service = base::ServiceName("s");
  entry.ip = "127.0.0.1";
  entry.port = static_cast<std::uint16_t>(targets_.back()->port());
  entry.zone = base::ZoneId("a");
  entry.slots = 8;
  entry.stage = stage;
  engines_.Put(entry, base::Time());
  return *targets_.back();
}

std::string RelayTest::Request(const std::string& path,
                               const std::string& more,
                               const std::string& id) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: " + id +
         "\r\n"
         "Lynxglade-Deadline-Ms: 5000\r\nContent-Length: 3\r\n"
         "Connection: close\r\n" +
         more + "\r\nabc";
}

std::string RelayTest::Call(const std::string& request) {
  if (!thread_) {
    StartRelay();
  }
  RawClient client(server_->port());
  client.Send(request);
  return client.ReadToEnd();
}

tests::AnswerText RelayTest::CallAndRead(const std::string& request) {
  if (!thread_) {
    StartRelay();
  }
  RawClient client(server_->port());
  client.Send(request);
  tests::AnswerText answer;
  answer.Feed(client.ReadToEnd());
  answer.EndConnection(client.reset());
  return answer;
}

void RelayTest::ExhaustRetryBudget() {
  const base::ServiceName service("s");
  while (const auto reserved = retry_budget_.TryReserve(
             service, 1, request::passthrough::ArrivalPurpose::kFirstPrefill,
             /*instances=*/1, base::BootClock::now())) {
    retry_budget_.Charge(service, *reserved);
  }
}

std::size_t RelayTest::Arrivals() const {
  std::size_t n = 0;
  for (const auto& target : targets_) {
    n += target->requests().size();
  }
  return n;
}

}  // namespace lynxglade::platform
