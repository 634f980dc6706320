#include "main/daemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/snapshot.h"
#include "base/time.h"
#include "connection/caller_front.h"
#include "connection/http_server.h"
#include "connection/instance_list.h"
#include "connection/key_value.h"
#include "connection/load_report.h"
#include "connection/platform_fetch.h"
#include "connection/target_client.h"
#include "connection/tls_material.h"
#include "main/check_report.h"
#include "main/daemon_options.h"
#include "main/orders_part.h"
#include "process/admin_front.h"
#include "process/certificate_reload.h"
#include "process/control_system.h"
#include "process/fleet_watch.h"
#include "process/periodic_task.h"
#include "process/serving_plane.h"
#include "process/target_registry.h"
#include "process/view_service.h"
#include "request/claims.h"
#include "request/request.h"
#include "version/configuration_plane.h"
#include "version/serving_configuration.h"

namespace lynxglade {

namespace {

using connection::HttpExchange;
using connection::HttpServer;
using request::Refusal;
using request::RefusalReason;

constexpr base::Duration kPlatformTimeout = std::chrono::seconds(1);
constexpr std::ptrdiff_t kWatchersPerZone = 2;
constexpr base::Duration kRefreshInterval = std::chrono::milliseconds(200);
constexpr base::Duration kTickInterval = std::chrono::seconds(1);
// How often certificate files are looked at.
constexpr base::Duration kCertificateInterval = std::chrono::seconds(3);
constexpr base::Duration kLoadTimeout = std::chrono::milliseconds(500);
// How long a planned stop keeps taking callers after it turned not ready, so
// that the platform's balancer can see it.
constexpr base::Duration kLeaveNotice = std::chrono::seconds(1);
constexpr base::Duration kRetryElsewhere = std::chrono::milliseconds(100);

}  // namespace

struct Daemon::Details {
  explicit Details(process::Settings s);

  connection::KvTransport MakeKvTransport();
  version::ConfigurationPlaneHooks MakeConfigurationHooks();
  process::ServingHooks MakeServingHooks();
  connection::CallerFrontHooks MakeCallerHooks();
  process::AdminFrontHooks MakeAdminHooks();
  std::vector<process::AdminRoute> MakeAdminRoutes();
  process::FleetWatchHooks MakeFleetHooks();
  OrdersHooks MakeOrdersHooks();
  process::ViewServiceHooks MakeViewHooks();
  void SubscribeToViews();
  void MakeServers();
  void AddGauges();
  void AddServerGauges(const std::string& front, const HttpServer& server);

  version::FleetFacts Fleet() const;
  void TakeConfiguration();
  std::optional<Refusal> Closed() const;
  std::optional<std::string> NotReady() const;
  std::vector<base::InstanceId> ZoneMembers() const;
  bool ShouldWatch() const;
  std::size_t LiveInstances() const;
  void RefreshCapacity();
  bool ReloadPeerCertificates();
  bool StartCertificates();
  bool StartServer(HttpServer& server);

  const process::Settings settings;
  std::string last_reason;
  std::atomic<bool> leaving{false};
  // Admission has seen the targets that the fleet watch waits for.
  std::atomic<bool> capacity_known{false};
  std::mutex configuration_mutex;
  base::Metrics metrics;
  base::RandomSource random = base::SystemRandom();
  connection::KeyValue key_value;
  connection::InstanceList instance_list;
  process::ControlSystem control;
  process::ViewService views;
  connection::TargetClient target_client;
  request::Claims claims;
  process::TargetRegistry registry;
  process::ServingPlane serving;
  base::Snapshot<version::ServingConfiguration> serving_configuration;
  version::ConfigurationPlane configuration;
  process::FleetWatch fleet;
  // From Start() to Stop().
  std::unique_ptr<OrdersPart> orders;
  connection::CallerFront caller_front;
  process::AdminFront admin_front;
  // Null without TLS.
  std::shared_ptr<connection::TlsMaterial> tls;
  std::unique_ptr<process::CertificateReload> certificates;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<process::PeriodicTask> certificate_task;
  std::unique_ptr<process::PeriodicTask> refresh_task;
  std::unique_ptr<process::PeriodicTask> tick_task;
};

// --- Putting it together ----------------------------------------------------

Daemon::Details::Details(process::Settings s)
    : settings(std::move(s)),
      key_value(MakeKvTransport(), kPlatformTimeout),
      instance_list(
          connection::MakeHttpPlatformFetch(settings.instance_list_url,
                                            kPlatformTimeout),
          base::BootClock::now),
      views(control.actors(),
            ViewOptionsOf(settings),
            MakeViewHooks(),
            metrics),
      target_client(base::BootClock::now, {}),
      claims(key_value,
             settings.instance,
             base::BootClock::now,
             random,
             metrics,
             {}),
      serving(ServingOptionsOf(settings),
              MakeServingHooks(),
              registry,
              metrics),
      configuration(key_value,
                    ConfigurationOptionsOf(settings),
                    MakeConfigurationHooks(),
                    metrics),
      fleet(
          {.instance = settings.instance, .zone = settings.zone, .poller = {}},
          MakeFleetHooks(),
          instance_list,
          registry,
          metrics),
      caller_front(MakeCallerHooks(), settings.default_deadline, metrics),
      admin_front(MakeAdminHooks(), MakeAdminRoutes(), metrics) {
  tls = TlsMaterialOf(settings);
  if (tls) {
    certificates = std::make_unique<process::CertificateReload>(
        *tls, [this] { return ReloadPeerCertificates(); }, metrics);
  }
  MakeServers();
  AddGauges();
}

void Daemon::Details::MakeServers() {
  connection::HttpServerOptions callers = CallerServerOptions(settings);
  callers.tls = tls;
  callers.screen = [this](const connection::HttpRequest& head) {
    return caller_front.Screen(head);
  };
  caller_server = std::make_unique<HttpServer>(
      std::move(callers),
      [this](HttpExchange& exchange) { caller_front.Handle(exchange); });
  connection::HttpServerOptions operators = AdminServerOptions(settings);
  operators.tls = tls;
  operators.screen = [this](const connection::HttpRequest& head) {
    return admin_front.Screen(head);
  };
  admin_server = std::make_unique<HttpServer>(
      std::move(operators),
      [this](HttpExchange& exchange) { admin_front.Handle(exchange); });
}

connection::KvTransport Daemon::Details::MakeKvTransport() {
  return connection::MakeHttpKvTransport(
      settings.kv_url, [this](std::string_view path) {
        metrics
            .GetCounter("lynxglade_kv_calls_total",
                        {{"path", std::string(path)}})
            .Add();
      });
}

version::ConfigurationPlaneHooks Daemon::Details::MakeConfigurationHooks() {
  version::ConfigurationPlaneHooks hooks;
  hooks.clock = base::BootClock::now;
  hooks.random = random;
  hooks.wall_millis = base::WallMillis;
  hooks.on_change = [this] { TakeConfiguration(); };
  hooks.publish = [this](process::ViewItem item) {
    views.Publish(std::move(item));
  };
  hooks.in_force_facts = [this] {
    return views.Snapshot(process::ViewKind::kConfigInForce);
  };
  hooks.member_count = [this] { return views.Members().size(); };
  hooks.should_watch = [this] { return ShouldWatch(); };
  hooks.fleet = [this] { return Fleet(); };
  return hooks;
}

// Changes may be announced out of order; the newest is read under the lock.
void Daemon::Details::TakeConfiguration() {
  std::lock_guard lock(configuration_mutex);
  const auto current = configuration.Current();
  if (current->revision <=
      serving_configuration.Get()->configuration().revision) {
    return;
  }
  serving_configuration.Set(version::ServingConfiguration(*current));
  serving.OnConfiguration(*current);
  base::Log(base::LogLevel::kInfo, "configuration_in_force",
            {{"revision", current->revision.value()}});
}

version::FleetFacts Daemon::Details::Fleet() const {
  version::FleetFacts facts;
  const std::chrono::duration<double> change = settings.role_change_time;
  facts.seconds_per_change = change.count();
  const auto index = registry.Index();
  std::ranges::transform(index->table().targets,
                         std::back_inserter(facts.targets),
                         [](const request::Target& target) {
                           version::TargetFact fact;
                           fact.id = target.id;
                           fact.service = target.service;
                           fact.model = target.model;
                           fact.version = target.version;
                           return fact;
                         });
  return facts;
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
  hooks.claim_begin = [this](const request::Request& request) {
    return claims.Begin(request);
  };
  hooks.claim_finish = [this](const request::Claim& claim,
                              base::Outcome outcome,
                              const request::Answer* answer) {
    claims.Finish(claim, outcome, answer);
  };
  hooks.publish = [this](const process::ViewItem& item) {
    views.Publish(item);
  };
  hooks.entry_instances = [this] { return LiveInstances(); };
  return hooks;
}

connection::CallerFrontHooks Daemon::Details::MakeCallerHooks() {
  connection::CallerFrontHooks hooks;
  hooks.configuration = [this] { return serving_configuration.Get(); };
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
  hooks.role_of_key = [this](const std::string& key) {
    const auto caller = configuration.access().Recognise(key);
    return caller ? std::optional(caller->role) : std::nullopt;
  };
  hooks.not_ready = [this] { return NotReady(); };
  return hooks;
}

std::vector<process::AdminRoute> Daemon::Details::MakeAdminRoutes() {
  using version::OperatorRole;
  const auto configure = [this](const connection::ApiCall& call) {
    return configuration.Handle(call);
  };
  const auto quarantine = [this](const connection::ApiCall& call) {
    return serving.HandleQuarantine(call);
  };
  // The configuration's own handlers look at each contract's operators.
  std::vector<process::AdminRoute> routes;
  for (const char* path : {"/v1/admin/plans", "/v1/admin/config",
                           "/v1/admin/contracts", "/v1/admin/audit"}) {
    routes.push_back(
        {path, OperatorRole::kReadOnly, OperatorRole::kContract, configure});
  }
  routes.push_back({"/v1/admin/instances", OperatorRole::kReadOnly,
                    OperatorRole::kFleet, [this](const connection::ApiCall&) {
                      return connection::ApiAnswer{200, views.InstancesJson()};
                    }});
  for (const char* path : {"/v1/admin/fleet", "/v1/admin/targets"}) {
    routes.push_back({path, OperatorRole::kReadOnly, OperatorRole::kFleet,
                      [this](const connection::ApiCall& call) {
                        return orders->HandleFleet(call);
                      }});
  }
  routes.push_back({"/v1/admin/planner", OperatorRole::kReadOnly,
                    OperatorRole::kFleet,
                    [this](const connection::ApiCall& call) {
                      return orders->HandlePlanner(call);
                    }});
  routes.push_back({"/v1/admin/quarantine", OperatorRole::kReadOnly,
                    OperatorRole::kFleet, quarantine});
  routes.push_back(
      {"/v1/admin/check", OperatorRole::kReadOnly, OperatorRole::kFleet,
       MakeCheckHandler(settings, PlatformServices(settings, key_value))});
  return routes;
}

OrdersHooks Daemon::Details::MakeOrdersHooks() {
  OrdersHooks hooks;
  hooks.configuration = [this] { return configuration.Current(); };
  hooks.offered = [this] {
    std::map<base::ServiceName, process::OfferedTotals> out;
    for (const auto& [service, demand] : serving.DemandByService()) {
      out[service] = {demand.prefill, demand.decode, demand.worth};
    }
    return out;
  };
  hooks.entry_instances = [this] { return LiveInstances(); };
  hooks.publish = [this](process::ViewItem item) {
    views.Publish(std::move(item));
  };
  return hooks;
}

process::FleetWatchHooks Daemon::Details::MakeFleetHooks() {
  process::FleetWatchHooks hooks;
  hooks.fetch = [](const process::ListedTarget& target) {
    return connection::FetchLoadReport(target.row.address, target.row.port,
                                       kLoadTimeout, base::BootClock::now);
  };
  hooks.on_load = [this](const connection::LoadReport& report) {
    serving.OnLoad(report);
  };
  hooks.publish = [this](process::ViewItem item) {
    views.Publish(std::move(item));
  };
  hooks.zone_members = [this] { return ZoneMembers(); };
  hooks.clock = base::BootClock::now;
  return hooks;
}

process::ViewServiceHooks Daemon::Details::MakeViewHooks() {
  process::ViewServiceHooks hooks;
  hooks.clock = base::BootClock::now;
  hooks.random = random;
  hooks.instance_rows = [this] {
    std::vector<process::InstanceRow> rows;
    std::ranges::transform(
        instance_list.Get()->entries, std::back_inserter(rows),
        [](const connection::EntryRow& entry) {
          return process::InstanceRow{entry.id, entry.zone, entry.address,
                                      entry.peer_port, entry.leaving};
        });
    return rows;
  };
  return hooks;
}

// Facts from peers go to the part that they concern.
void Daemon::Details::SubscribeToViews() {
  const auto to_fleet = [this](const process::ViewItem& item) {
    fleet.Hear(item);
  };
  const auto to_configuration = [this](const process::ViewItem& item) {
    configuration.Hear(item);
  };
  views.Subscribe(process::ViewKind::kTarget,
                  [this](const process::ViewItem& item) {
                    fleet.Hear(item);
                    orders->Hear(item);
                  });
  views.Subscribe(process::ViewKind::kLoad, to_fleet);
  views.Subscribe(process::ViewKind::kConfigHead, to_configuration);
  views.Subscribe(process::ViewKind::kConfigDelta, to_configuration);
  views.Subscribe(process::ViewKind::kQuarantine,
                  [this](const process::ViewItem& item) {
                    serving.OnQuarantineView(item);
                  });
}

void Daemon::Details::AddGauges() {
  metrics.AddGauge("lynxglade_requests_running", {},
                   [this] { return serving.running(); });
  metrics.AddGauge("lynxglade_requests_waiting", {},
                   [this] { return static_cast<double>(serving.waiting()); });
  AddServerGauges("callers", *caller_server);
  AddServerGauges("operators", *admin_server);
}

void Daemon::Details::AddServerGauges(const std::string& front,
                                      const HttpServer& server) {
  using connection::HttpServerCounters;
  metrics.AddGauge("lynxglade_connections", {{"front", front}}, [&server] {
    return static_cast<double>(server.active_connections());
  });
  const auto add = [&](const char* reason,
                       std::uint64_t HttpServerCounters::* member) {
    metrics.AddGauge("lynxglade_connections_turned_away",
                     {{"front", front}, {"reason", reason}}, [&server, member] {
                       return static_cast<double>(server.counters().*member);
                     });
  };
  add("too_many", &HttpServerCounters::overflowed);
  add("far_too_many", &HttpServerCounters::dropped);
  add("handshake", &HttpServerCounters::handshakes_failed);
  add("head_too_large", &HttpServerCounters::heads_too_large);
  add("head_too_slow", &HttpServerCounters::heads_too_slow);
  add("head_refused", &HttpServerCounters::heads_refused);
  add("body_too_large", &HttpServerCounters::bodies_too_large);
  add("body_too_slow", &HttpServerCounters::bodies_too_slow);
}

// --- States -----------------------------------------------------------------

std::optional<Refusal> Daemon::Details::Closed() const {
  if (configuration.ready()) {
    return std::nullopt;
  }
  return Refusal{RefusalReason::kNotReady, base::Outcome::kNotRun,
                 "this instance has no configuration yet", kRetryElsewhere};
}

std::optional<std::string> Daemon::Details::NotReady() const {
  if (leaving) {
    return "stopping";
  }
  if (!configuration.ready()) {
    return "no configuration yet";
  }
  if (!capacity_known) {
    return "targets are not known yet";
  }
  return std::nullopt;
}

std::vector<base::InstanceId> Daemon::Details::ZoneMembers() const {
  std::vector<base::InstanceId> out;
  for (const process::Member& member : views.Members()) {
    const bool live = member.state == process::MemberState::kLive;
    if (live && member.zone == settings.zone) {
      out.push_back(member.id);
    }
  }
  return out;
}

std::size_t Daemon::Details::LiveInstances() const {
  const auto members = views.Members();
  return static_cast<std::size_t>(std::ranges::count(
      members, process::MemberState::kLive, &process::Member::state));
}

void Daemon::Details::RefreshCapacity() {
  const bool targets_known = fleet.Ready();
  serving.Refresh();
  capacity_known = capacity_known || targets_known;
}

// A few instances of each zone watch the key-value service for the others.
bool Daemon::Details::ShouldWatch() const {
  const auto rank = [this](const base::InstanceId& id) {
    return base::HashPair(settings.zone.str(), id.str());
  };
  const std::uint64_t own = rank(settings.instance);
  const auto before = std::ranges::count_if(
      ZoneMembers(),
      [&](const base::InstanceId& id) { return rank(id) < own; });
  return before < kWatchersPerZone;
}

bool Daemon::Details::ReloadPeerCertificates() {
  process::ViewServiceError error{};
  return settings.peer_ca.empty() || views.ReloadCertificates(&error);
}

bool Daemon::Details::StartCertificates() {
  if (!certificates) {
    return true;
  }
  connection::TlsMaterialError error{};
  if (!certificates->LoadFirst(&error)) {
    last_reason = "--tls-certificate and --tls-key: ";
    last_reason += connection::ToString(error);
    return false;
  }
  certificate_task = std::make_unique<process::PeriodicTask>(
      kCertificateInterval, [this] { certificates->ReloadIfChanged(); });
  return true;
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
  if (!d.StartCertificates()) {
    return false;
  }
  process::ViewServiceError error{};
  if (!d.views.Start(&error)) {
    d.last_reason = "peer link: ";
    d.last_reason += process::ToString(error);
    return false;
  }
  d.orders = std::make_unique<OrdersPart>(d.settings, d.control, d.key_value,
                                          d.registry, d.MakeOrdersHooks(),
                                          d.random, d.metrics);
  d.SubscribeToViews();
  d.configuration.Start();
  d.fleet.Start();
  d.refresh_task = std::make_unique<process::PeriodicTask>(
      kRefreshInterval, [&d] { d.RefreshCapacity(); });
  d.tick_task = std::make_unique<process::PeriodicTask>(
      kTickInterval, [&d] { d.configuration.Tick(); });
  return d.StartServer(*d.admin_server) && d.StartServer(*d.caller_server);
}

void Daemon::Reload() {
  if (details_->certificates) {
    details_->certificates->Reload();
  }
}

void Daemon::Stop() {
  Details& d = *details_;
  d.leaving = true;
  d.views.Leave();
  d.orders->Stop();
  std::this_thread::sleep_for(kLeaveNotice);
  d.serving.Stop();
  d.caller_server->Stop();
  d.views.Stop();
  d.fleet.Stop();
  d.certificate_task.reset();
  d.refresh_task.reset();
  d.tick_task.reset();
  d.admin_server->Stop();
}

const std::string& Daemon::last_reason() const noexcept {
  return details_->last_reason;
}

}  // namespace lynxglade
