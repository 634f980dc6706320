#include "main/daemon.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/snapshot.h"
#include "base/time.h"
#include "connection/caller_front.h"
#include "connection/chat_body.h"
#include "connection/http_limits.h"
#include "connection/http_server.h"
#include "connection/instance_list.h"
#include "connection/load_report.h"
#include "connection/platform_fetch.h"
#include "connection/target_client.h"
#include "process/admin_front.h"
#include "process/load_poller.h"
#include "process/periodic_task.h"
#include "process/serving_plane.h"
#include "process/target_registry.h"
#include "request/request.h"
#include "version/serving_configuration.h"

namespace lynxglade {

namespace {

using connection::HttpExchange;
using connection::HttpServer;
using connection::HttpServerOptions;
using request::Refusal;
using request::RefusalReason;

constexpr base::Duration kPlatformTimeout = std::chrono::seconds(1);
constexpr base::Duration kInstanceListInterval = std::chrono::seconds(1);
constexpr base::Duration kRefreshInterval = std::chrono::milliseconds(200);
constexpr base::Duration kLoadTimeout = std::chrono::milliseconds(500);
// How long a planned stop keeps taking callers after it turned not ready, so
// that the platform's balancer can see it.
constexpr base::Duration kLeaveNotice = std::chrono::seconds(1);
constexpr base::Duration kRetryElsewhere = std::chrono::milliseconds(100);

// The library's own errors, in the form that callers know.
std::string LibraryErrorBody(int status) {
  const RefusalReason reason = status == 413 ? RefusalReason::kBodyTooLarge
                                             : RefusalReason::kMalformedBody;
  return connection::RefusalBody({reason, base::Outcome::kNotRun,
                                  "HTTP status " + std::to_string(status),
                                  std::nullopt});
}

HttpServerOptions CallerServerOptions(const process::Settings& settings) {
  HttpServerOptions options;
  options.address = settings.listen.address;
  options.port = settings.listen.port;
  options.max_connections = settings.max_connections;
  options.max_body_bytes = connection::kMaxCallerBodyBytes;
  options.certificate_file = settings.tls_certificate;
  options.key_file = settings.tls_key;
  options.overflow.body = connection::RefusalBody(
      {RefusalReason::kOverloaded, base::Outcome::kNotRun,
       "this instance serves as many connections as it may", kRetryElsewhere});
  options.error_body = LibraryErrorBody;
  return options;
}

HttpServerOptions AdminServerOptions(const process::Settings& settings) {
  HttpServerOptions options;
  options.address = settings.admin_listen.address;
  options.port = settings.admin_listen.port;
  options.max_connections = 64;
  options.certificate_file = settings.tls_certificate;
  options.key_file = settings.tls_key;
  return options;
}

process::ServingOptions ServingOptionsOf(const process::Settings& settings) {
  process::ServingOptions options;
  options.instance = settings.instance;
  options.zone = settings.zone;
  options.router.policy = settings.routing_policy;
  return options;
}

}  // namespace

struct Daemon::Details {
  explicit Details(process::Settings s);

  process::ServingHooks MakeServingHooks();
  connection::CallerFrontHooks MakeCallerHooks();
  process::AdminFrontHooks MakeAdminHooks();
  std::vector<process::AdminRoute> MakeAdminRoutes();
  process::LoadPollerHooks MakePollerHooks();
  void AddGauges();

  std::optional<Refusal> Closed() const;
  std::optional<std::string> NotReady() const;
  void RefreshInstanceList();
  bool StartServer(HttpServer& server);

  const process::Settings settings;
  std::string last_reason;
  std::atomic<bool> leaving{false};
  base::Metrics metrics;
  base::RandomSource random = base::SystemRandom();
  base::Snapshot<version::ServingConfiguration> configuration;
  connection::InstanceList instance_list;
  connection::TargetClient target_client;
  process::TargetRegistry registry;
  process::ServingPlane serving;
  connection::CallerFront caller_front;
  process::AdminFront admin_front;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<process::PeriodicTask> list_task;
  std::unique_ptr<process::PeriodicTask> refresh_task;
  std::unique_ptr<process::LoadPoller> load_poller;
};

// --- Putting it together ----------------------------------------------------

Daemon::Details::Details(process::Settings s)
    : settings(std::move(s)),
      instance_list(
          connection::MakeHttpPlatformFetch(settings.instance_list_url,
                                            kPlatformTimeout),
          base::BootClock::now),
      target_client(base::BootClock::now, {}),
      serving(ServingOptionsOf(settings),
              MakeServingHooks(),
              registry,
              metrics),
      caller_front(MakeCallerHooks(), settings.default_deadline, metrics),
      admin_front(MakeAdminHooks(), MakeAdminRoutes(), metrics) {
  caller_server = std::make_unique<HttpServer>(
      CallerServerOptions(settings),
      [this](HttpExchange& exchange) { caller_front.Handle(exchange); });
  admin_server = std::make_unique<HttpServer>(
      AdminServerOptions(settings),
      [this](HttpExchange& exchange) { admin_front.Handle(exchange); });
  AddGauges();
}

process::ServingHooks Daemon::Details::MakeServingHooks() {
  process::ServingHooks hooks;
  hooks.clock = base::BootClock::now;
  hooks.random = random;
  hooks.run = [this](const request::AttemptOrder& order,
                     const request::TokenSink& sink) {
    return target_client.Run(order, sink);
  };
  hooks.cancel = [this](const request::AttemptOrder& order) {
    target_client.Cancel(order);
  };
  hooks.publish = [](const process::ViewItem&) {};
  hooks.entry_instances = [this] {
    return instance_list.Get()->entries.size();
  };
  return hooks;
}

connection::CallerFrontHooks Daemon::Details::MakeCallerHooks() {
  connection::CallerFrontHooks hooks;
  hooks.configuration = [this] { return configuration.Get(); };
  hooks.serve = [this](const request::Request& request,
                       const request::CallerSink& sink) {
    return serving.Serve(request, sink);
  };
  hooks.closed = [this] { return Closed(); };
  hooks.now = base::BootClock::now;
  hooks.random = random;
  return hooks;
}

process::AdminFrontHooks Daemon::Details::MakeAdminHooks() {
  process::AdminFrontHooks hooks;
  hooks.not_ready = [this] { return NotReady(); };
  return hooks;
}

std::vector<process::AdminRoute> Daemon::Details::MakeAdminRoutes() {
  return {{"/v1/admin/quarantine", version::OperatorRole::kReadOnly,
           version::OperatorRole::kFleet,
           [this](const connection::ApiCall& call) {
             return serving.HandleQuarantine(call);
           }}};
}

process::LoadPollerHooks Daemon::Details::MakePollerHooks() {
  process::LoadPollerHooks hooks;
  hooks.targets = [this] { return registry.Rows(); };
  hooks.fetch = [](const process::ListedTarget& target) {
    return connection::FetchLoadReport(target.row.address, target.row.port,
                                       kLoadTimeout, base::BootClock::now);
  };
  hooks.on_report = [this](const connection::LoadReport& report) {
    serving.OnLoad(report);
  };
  return hooks;
}

void Daemon::Details::AddGauges() {
  metrics.AddGauge("lynxglade_requests_running", {},
                   [this] { return serving.running(); });
  metrics.AddGauge("lynxglade_requests_waiting", {},
                   [this] { return static_cast<double>(serving.waiting()); });
  metrics.AddGauge("lynxglade_caller_connections", {}, [this] {
    return static_cast<double>(caller_server->active_connections());
  });
  metrics.AddGauge("lynxglade_caller_connections_refused", {}, [this] {
    return static_cast<double>(caller_server->overflowed_connections());
  });
}

// --- States -----------------------------------------------------------------

std::optional<Refusal> Daemon::Details::Closed() const {
  if (configuration.Get()->configuration().revision.value() != 0) {
    return std::nullopt;
  }
  return Refusal{RefusalReason::kNotReady, base::Outcome::kNotRun,
                 "this instance has no configuration yet", kRetryElsewhere};
}

std::optional<std::string> Daemon::Details::NotReady() const {
  if (leaving) {
    return "stopping";
  }
  if (configuration.Get()->configuration().revision.value() == 0) {
    return "no configuration yet";
  }
  return std::nullopt;
}

void Daemon::Details::RefreshInstanceList() {
  connection::PlatformError error{};
  if (instance_list.Refresh(&error)) {
    registry.SetRows(*instance_list.Get());
    return;
  }
  metrics
      .GetCounter("lynxglade_instance_list_failures_total",
                  {{"reason", std::string(connection::ToString(error))}})
      .Add();
}

bool Daemon::Details::StartServer(HttpServer& server) {
  if (server.Start()) {
    return true;
  }
  last_reason = server.last_reason();
  return false;
}

// --- Life -------------------------------------------------------------------

Daemon::Daemon(process::Settings settings)
    : details_(std::make_unique<Details>(std::move(settings))) {}

Daemon::~Daemon() = default;

bool Daemon::Start() {
  Details& d = *details_;
  d.list_task = std::make_unique<process::PeriodicTask>(
      kInstanceListInterval, [&d] { d.RefreshInstanceList(); });
  d.refresh_task = std::make_unique<process::PeriodicTask>(
      kRefreshInterval, [&d] { d.serving.Refresh(); });
  d.load_poller = std::make_unique<process::LoadPoller>(
      process::LoadPollerOptions{}, d.MakePollerHooks());
  return d.StartServer(*d.admin_server) && d.StartServer(*d.caller_server);
}

void Daemon::Stop() {
  Details& d = *details_;
  d.leaving = true;
  std::this_thread::sleep_for(kLeaveNotice);
  d.serving.Stop();
  d.caller_server->Stop();
  d.load_poller.reset();
  d.refresh_task.reset();
  d.list_task.reset();
  d.admin_server->Stop();
}

const std::string& Daemon::last_reason() const noexcept {
  return details_->last_reason;
}

}  // namespace lynxglade
