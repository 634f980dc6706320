// Connects the daemon's components to each other.
#include "main/details/daemon_details.h"

namespace lynxglade {

namespace {

using connection::HttpExchange;
using connection::HttpServer;

constexpr base::Duration kPlatformTimeout = std::chrono::seconds(1);
constexpr base::Duration kLoadTimeout = std::chrono::milliseconds(500);

}  // namespace

// --- Construction -----------------------------------------------------------

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
  hooks.on_change = [this] { ApplyConfiguration(); };
  hooks.publish = [this](process::ViewItem item) {
    views.Publish(std::move(item));
  };
  hooks.revision_facts = [this] {
    return views.Snapshot(process::ViewKind::kConfigInForce);
  };
  hooks.member_count = [this] { return views.Members().size(); };
  hooks.should_watch = [this] { return ShouldWatch(); };
  hooks.fleet = [this] { return Fleet(); };
  return hooks;
}

// Notifications may arrive out of order, so the current configuration is read
// under the lock and an older one is ignored.
void Daemon::Details::ApplyConfiguration() {
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
  facts.seconds_per_reload = change.count();
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
  hooks.run = [this](const request::AttemptSpec& spec,
                     const request::TokenSink& sink) {
    return target_client.Run(spec, sink);
  };
  hooks.cancel = [this](const request::AttemptSpec& spec) {
    target_client.Cancel(spec);
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
  hooks.closed = [this] { return NotReadyRefusal(); };
  hooks.now = base::BootClock::now;
  hooks.random = random;
  return hooks;
}

process::AdminFrontHooks Daemon::Details::MakeAdminHooks() {
  process::AdminFrontHooks hooks;
  hooks.role_of_key = [this](const std::string& key) {
    const auto caller = configuration.access().Authenticate(key);
    return caller ? std::optional(caller->role) : std::nullopt;
  };
  hooks.not_ready = [this] { return NotReadyReason(); };
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
  // The handlers of the configuration check the operators of each contract
  // themselves.
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
                        return fleet_control->HandleFleet(call);
                      }});
  }
  routes.push_back({"/v1/admin/planner", OperatorRole::kReadOnly,
                    OperatorRole::kFleet,
                    [this](const connection::ApiCall& call) {
                      return fleet_control->HandlePlanner(call);
                    }});
  routes.push_back({"/v1/admin/quarantine", OperatorRole::kReadOnly,
                    OperatorRole::kFleet, quarantine});
  routes.push_back(
      {"/v1/admin/check", OperatorRole::kReadOnly, OperatorRole::kFleet,
       MakeCheckHandler(settings, PlatformServices(settings, key_value))});
  return routes;
}

FleetControlHooks Daemon::Details::MakeFleetControlHooks() {
  FleetControlHooks hooks;
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
  hooks.should_publish_list = [this] { return ShouldWatch(); };
  hooks.listed_facts = [this] {
    return views.Snapshot(process::ViewKind::kListed);
  };
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
    const bool has_peers =
        std::ranges::any_of(rows, [this](const process::InstanceRow& row) {
          return row.id != settings.instance;
        });
    return has_peers ? rows : SeedRows(settings);
  };
  return hooks;
}

// Dispatches facts from peers to the components that use them.
void Daemon::Details::SubscribeToViews() {
  const auto to_fleet = [this](const process::ViewItem& item) {
    fleet.OnFact(item);
  };
  const auto to_configuration = [this](const process::ViewItem& item) {
    configuration.HandleFact(item);
  };
  views.Subscribe(process::ViewKind::kTarget,
                  [this](const process::ViewItem& item) {
                    fleet.OnFact(item);
                    fleet_control->OnTargetFact(item);
                  });
  views.Subscribe(process::ViewKind::kLoad, to_fleet);
  views.Subscribe(process::ViewKind::kListed, to_fleet);
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

}  // namespace lynxglade
