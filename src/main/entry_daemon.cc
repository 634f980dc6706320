#include "main/entry_daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "connection/event/sleep.h"
#include "main/entry_duties.h"
#include "main/entry_peers.h"
#include "main/entry_views.h"
#include "main/exit_status.h"
#include "platform/engine_orders.h"
#include "platform/store_client.h"
#include "platform/store_documents.h"
#include "platform/target_protocol.h"
#include "process/duties/duty_holder.h"
#include "process/peers/instance_presence.h"
#include "process/peers/watch_sharing.h"
#include "process/stages/stage_orders.h"
#include "process/store/prefix_follower.h"
#include "request/passthrough/peer_avoidance.h"
#include "request/passthrough/peer_prefills.h"
#include "request/passthrough/relay.h"

namespace lynxglade {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::CallerServer;
using connection::event::CallerServerLimits;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::SleepFor;
using connection::event::Tcp;
using connection::event::View;
using process::store::PrefixFollower;
using process::store::StoreItem;
namespace asio = connection::event::asio;
namespace http = connection::event::http;

constexpr base::Duration kMaintenancePeriod = std::chrono::milliseconds(250);
// After SIGTERM, before idle connections are closed. Allows for a load balancer
// that checks health once a second and removes an instance after two failures.
constexpr base::Duration kBalancerNoticeTime = std::chrono::milliseconds(2500);
// Part of the stop grace period reserved for the exit of the process.
constexpr base::Duration kExitMargin = std::chrono::milliseconds(300);
constexpr base::Duration kDrainPollPeriod = std::chrono::milliseconds(50);
// Prefix of all keys that instances write.
constexpr char kInstanceKeysPrefix[] = "lynxglade/";
// Delay after a watch that returned changes, to batch a burst of changes. It is
// shorter if few instances watch the store for the others: their calls cost
// little, and a change is delayed both at the watching instance and at the
// receiving one.
constexpr base::Duration kBatchDelay = std::chrono::milliseconds(800);
constexpr base::Duration kSharedBatchDelay = std::chrono::milliseconds(300);
// Bound on the time from the confirmation of the authority to the arrival of a
// call: validity of the confirmation and timeout of the call.
constexpr base::Duration kCallFlightTime = std::chrono::milliseconds(1500);
// After this time without a request, all engines may change stage at once.
constexpr base::Duration kIdleTimeout = std::chrono::seconds(3);

Tcp::endpoint EndpointOf(const process::Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address),
          static_cast<std::uint16_t>(endpoint.port)};
}

}  // namespace

struct EntryDaemon::Details {
  explicit Details(const process::EntrySettings& s);

  CallerServerLimits Bounds() const;
  bool Ready() const;
  Awaitable<void> ServeHealth(std::shared_ptr<CallerRequest> request,
                              CallerReply& reply);
  void AddGauges();
  Awaitable<void> RunMaintenance();
  Awaitable<void> WaitForStop();
  Awaitable<void> Drain();
  void Spawn(Awaitable<void> task);
  request::passthrough::RelayDependencies MakeRelayDependencies();
  // Starts the exchange with peer instances through this address.
  void JoinPeers(const process::Endpoint& endpoint);
  process::store::PrefixFollowerHooks InstanceKeysHooks();
  process::store::PrefixFollowerHooks StoreHooks();

  const process::EntrySettings settings;
  const base::Clock clock = base::BootClock::now;
  const base::RandomSource random = base::SystemRandom();
  asio::io_context loop{1};
  base::Metrics metrics;
  connection::event::ChannelPool channels{loop, clock};
  platform::StoreClient store;

  EntryViews views{clock, metrics};
  request::passthrough::PeerPrefills peer_prefills;
  request::passthrough::PeerAvoidance peer_avoidance;
  request::passthrough::ZoneHealth zones;
  request::passthrough::RunTimes run_times;
  request::passthrough::PrefillTimes prefill_times;
  request::passthrough::GenerationTimes generation_times;
  request::passthrough::AnswerAdmission answers{generation_times};
  const request::passthrough::EngineCapacity capacity =
      [this](const request::passthrough::Engine& engine, base::Time now) {
        return answers.Capacity(engine, now);
      };
  request::passthrough::EnginePicker picker;
  request::passthrough::SharedRetryBudget retry_budget;
  process::peers::InstancePresence presence;
  // Source of the store follower: the store, or another instance that watches
  // it.
  process::peers::WatchSharing watches;
  process::duties::DutyHolder authority;
  process::stages::StageOrders stage_orders;
  base::Time last_request{};
  // Follows all keys: of the configuration, the targets and the instances.
  PrefixFollower store_follower;
  request::passthrough::Relay relay;
  CallerServer callers;
  CallerServer health;
  asio::signal_set signals{loop, SIGTERM, SIGINT, SIGHUP};
  // Set only if a peer address is configured.
  std::optional<EntryPeers> peers;
  // Set only if, in addition, the address of the platform's calls is.
  std::optional<EntryDuties> duties;
  bool stopping = false;
  // New requests are rejected, as they might not finish before the process
  // exits.
  bool rejecting = false;
};

EntryDaemon::Details::Details(const process::EntrySettings& s)
    : settings(s),
      store(loop, channels, {.endpoint = EndpointOf(s.store)}, metrics),
      picker(
          {.zone = s.zone},
          prefill_times,
          random,
          [this](const request::passthrough::Engine& engine,
                 int priority,
                 base::Time now) {
            return peer_prefills.PrefillTokens(engine.entry.id, priority, now);
          },
          [this](const base::ZoneId& zone, base::Time now) {
            return zones.IsUnreachable(zone, now);
          },
          [this](const request::passthrough::Engine& engine, base::Time now) {
            return peer_avoidance.IsAvoided(engine.entry.id, now);
          },
          capacity),
      retry_budget({.ratio = s.retry_ratio,
                    .allowance = s.retry_allowance,
                    .window = s.retry_window},
                   [this](const base::ServiceName& service, double missing) {
                     if (peers) {
                       peers->retry_loans().RequestLoan(service, missing);
                     }
                   }),
      presence(loop,
               store,
               {.instance = s.instance,
                .zone = s.zone,
                .peer_endpoint = s.peer_listen},
               clock),
      watches(
          loop,
          store,
          {.instance = s.instance, .zone = s.zone},
          [this]() -> const std::vector<process::peers::InstancePeer>& {
            return presence.Peers();
          },
          process::peers::MakeQueryRelay(loop, channels),
          clock,
          metrics),
      authority(loop,
                store,
                presence,
                {.takeover_delay = std::max(s.order_takeover_delay,
                                            s.holder_gap + kCallFlightTime)},
                clock,
                random),
      stage_orders(
          loop,
          views.engines(),
          authority,
          platform::MakeStageOrderHooks(loop, channels),
          {.instance = s.instance, .plan = {.decode_share = s.decode_share}},
          [this] {
            return views.routes() ? views.routes()->StagedServices()
                                  : std::vector<base::ServiceName>();
          },
          [this] { return clock() - last_request > kIdleTimeout; },
          [this](const base::ServiceName& service) {
            return picker.Backlog(views.engines().OfService(service), clock());
          },
          [this](const base::ServiceName& service) {
            return answers.AdmittedFraction(service, clock());
          },
          capacity,
          clock,
          metrics),
      store_follower(loop,
                     watches,
                     {.batch_delay =
                          [this] {
                            return watches.IsSharing() ? kSharedBatchDelay
                                                       : kBatchDelay;
                          }},
                     StoreHooks(),
                     clock,
                     random,
                     metrics),
      relay(MakeRelayDependencies()),
      callers(
          loop,
          {.endpoint = EndpointOf(s.listen),
           .max_connections = s.max_connections},
          [this] { return Bounds(); },
          [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
            last_request = clock();
            return relay.Serve(std::move(request), reply);
          },
          clock,
          metrics),
      health(
          loop,
          {.endpoint = EndpointOf(s.health_listen)},
          [] { return CallerServerLimits(); },
          [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
            return ServeHealth(std::move(request), reply);
          },
          clock,
          metrics) {
  if (s.peer_listen) {
    JoinPeers(*s.peer_listen);
  }
}

void EntryDaemon::Details::JoinPeers(const process::Endpoint& endpoint) {
  peers.emplace(
      EntryPeersDependencies{.loop = loop,
                             .presence = presence,
                             .watches = watches,
                             .engines = views.engines(),
                             .prefills = peer_prefills,
                             .avoidance = peer_avoidance,
                             .retry_budget = retry_budget,
                             .is_served =
                                 [this](const base::ServiceName& service) {
                                   return views.routes() &&
                                          views.routes()->FindService(service);
                                 },
                             .clock = clock,
                             .random = random,
                             .metrics = metrics},
      settings, endpoint);
  if (settings.duty_calls) {
    duties.emplace(
        EntryDutiesDependencies{
            .loop = loop,
            .channels = channels,
            .store = store,
            .presence = presence,
            .datagrams = peers->datagrams(),
            .holder = authority,
            .engines = views.engines(),
            .scaled_services =
                [this] {
                  return views.routes()
                             ? views.routes()->ScaledServices()
                             : std::map<base::ServiceName,
                                        request::passthrough::ScalingTerms>();
                },
            .view_age =
                [this] {
                  return store_follower.Age().value_or(base::Duration::max());
                },
            .idle = [this] { return clock() - last_request > kIdleTimeout; },

            .clock = clock,
            .random = random,
            .metrics = metrics},
        settings, *settings.duty_calls);
  }
}

process::store::PrefixFollowerHooks EntryDaemon::Details::StoreHooks() {
  return process::store::DispatchByPrefix(
      {{platform::kConfigurationKey, views.ConfigurationHooks()},
       {platform::kTargetsPrefix, views.TargetHooks()},
       {kInstanceKeysPrefix, InstanceKeysHooks()}});
}

process::store::PrefixFollowerHooks EntryDaemon::Details::InstanceKeysHooks() {
  return {
      .on_list =
          [this](const std::vector<StoreItem>& items) {
            presence.OnList(items);
            authority.OnList(items);
            if (duties) {
              duties->OnList(items);
            }
          },
      .on_change =
          [this](const StoreItem& it) {
            presence.OnChange(it);
            authority.OnChange(it);
            if (duties) {
              duties->OnChange(it);
            }
          },
      .on_recovered = [] {},
  };
}

request::passthrough::RelayDependencies
EntryDaemon::Details::MakeRelayDependencies() {
  return {
      .loop = loop,
      .channels = channels,
      .engines = views.engines(),
      .picker = picker,
      .prefill_times = prefill_times,
      .generation_times = generation_times,
      .answers = answers,
      .retry_budget = retry_budget,
      .zones = zones,
      .run_times = run_times,
      .metrics = metrics,
      .clock = clock,
      .random = random,
      .protocol = platform::MakeTargetProtocol(),
      .routes = [this] { return views.routes(); },
      .accepts = [this] { return !rejecting; },
      .instances = [this] { return presence.Count(); },
      .view_age =
          [this] {
            return store_follower.Age().value_or(base::Duration::max());
          },
      .on_run =
          [this](const base::OrganisationId& organisation, base::Time began) {
            if (duties) {
              duties->CountRun(organisation, began);
            }
          }};
}

CallerServerLimits EntryDaemon::Details::Bounds() const {
  CallerServerLimits bounds;
  if (!views.routes()) {
    return bounds;
  }
  const auto& limits = views.routes()->limits();
  bounds.max_header_bytes = limits.max_header_bytes;
  bounds.max_body_bytes = limits.max_body_bytes;
  bounds.header_timeout = limits.header_timeout;
  bounds.idle_timeout = limits.idle_timeout;
  return bounds;
}

bool EntryDaemon::Details::Ready() const {
  return !stopping && views.complete();
}

Awaitable<void> EntryDaemon::Details::ServeHealth(
    std::shared_ptr<CallerRequest> request,
    CallerReply& reply) {
  connection::event::AnswerHead head;
  std::string body;
  const std::string_view path = View(request->head.target());
  if (path == "/metrics") {
    head.status = static_cast<unsigned>(http::status::ok);
    head.fields.set(http::field::content_type, "text/plain; version=0.0.4");
    body = metrics.Render();
  } else {
    head.status = static_cast<unsigned>(
        Ready() ? http::status::ok : http::status::service_unavailable);
  }
  co_await reply.SendWhole(std::move(head), body);
}

// The gauges are read on the event loop, when the metrics are rendered.
void EntryDaemon::Details::AddGauges() {
  metrics.AddGauge("lynxglade_targets_known", {}, [this] {
    return static_cast<double>(views.engines().size());
  });
  metrics.AddGauge("lynxglade_instances_assumed", {},
                   [this] { return static_cast<double>(presence.Count()); });
  metrics.AddGauge("lynxglade_store_age_seconds", {}, [this] {
    const auto age = store_follower.Age();
    return age ? std::chrono::duration<double>(*age).count() : -1;
  });
  metrics.AddGauge("lynxglade_configuration_version", {}, [this] {
    return views.routes() ? static_cast<double>(views.routes()->version()) : -1;
  });
  metrics.AddGauge("lynxglade_connections_opened", {},
                   [this] { return static_cast<double>(channels.opened()); });
  metrics.AddGauge("lynxglade_callers_connected", {}, [this] {
    return static_cast<double>(callers.connections());
  });
}

Awaitable<void> EntryDaemon::Details::RunMaintenance() {
  while (true) {
    co_await SleepFor(loop, kMaintenancePeriod);
    views.engines().Expire(clock());
    channels.CloseIdle();
  }
}

Awaitable<void> EntryDaemon::Details::WaitForStop() {
  while (true) {
    ErrorCode ec;
    const int number = co_await signals.async_wait(Into(ec));
    if (number != SIGHUP) {
      break;
    }
    // Flags and the environment cannot change while the process runs.
    Log(LogLevel::kInfo, "reload_ignored",
        {{"reason", "settings are read only at startup"}});
  }
  co_await Drain();
  loop.stop();
}

// Readiness is withdrawn at once, but requests are accepted until the load
// balancer has had time to notice. Returns once all connections are closed, or
// at the end of the grace period.
Awaitable<void> EntryDaemon::Details::Drain() {
  Log(LogLevel::kInfo, "stop_begun", {{"busy", callers.busy()}});
  stopping = true;
  callers.BeginDrain();
  const base::Time start = clock();
  const base::Time deadline = start + settings.stop_grace - kExitMargin;
  stage_orders.Stop();
  if (duties) {
    duties->Stop();
  }
  Spawn(authority.Leave());
  Spawn(presence.Leave());
  while (clock() < deadline) {
    const bool balancer_noticed = clock() - start >= kBalancerNoticeTime;
    if (balancer_noticed) {
      // A load balancer with too few other instances still sends requests here.
      rejecting = true;
      callers.CloseIdle();
    }
    if (balancer_noticed && callers.connections() == 0) {
      break;
    }
    co_await SleepFor(loop, kDrainPollPeriod);
  }
  Log(LogLevel::kInfo, "stop_done",
      {{"busy", callers.busy()}, {"ms", base::ToMillis(clock() - start)}});
}

void EntryDaemon::Details::Spawn(Awaitable<void> task) {
  asio::co_spawn(loop, std::move(task), asio::detached);
}

EntryDaemon::EntryDaemon(const process::EntrySettings& settings)
    : details_(std::make_unique<Details>(settings)) {
  details_->AddGauges();
}

EntryDaemon::~EntryDaemon() = default;

bool EntryDaemon::Start(std::string* reason) {
  if (!details_->callers.Start(reason)) {
    *reason = "--listen: " + *reason;
    return false;
  }
  if (!details_->health.Start(reason)) {
    *reason = "--health-listen: " + *reason;
    return false;
  }
  if (details_->peers && !details_->peers->Start(reason)) {
    *reason = "--peer-listen: " + *reason;
    return false;
  }
  if (details_->duties) {
    details_->duties->Start();
  }
  details_->Spawn(details_->store_follower.Run());
  details_->Spawn(details_->presence.Run());
  details_->Spawn(details_->authority.Run());
  details_->Spawn(details_->stage_orders.Run());
  details_->Spawn(details_->RunMaintenance());
  details_->Spawn(details_->WaitForStop());
  return true;
}

void EntryDaemon::Run() {
  details_->loop.run();
}

int RunEntryDaemon(int argc, const char* const* argv) {
  process::SettingsFault fault;
  const auto settings = process::ParseEntrySettings(argc, argv, &fault);
  if (!settings) {
    return ReportBadSettings(fault);
  }
  base::InitLog(settings->log_level, settings->instance.str(),
                base::LogOutput::kStandardOutput);
  std::signal(SIGPIPE, SIG_IGN);
  EntryDaemon daemon(*settings);
  std::string reason;
  if (!daemon.Start(&reason)) {
    Log(LogLevel::kError, "cannot_start", {{"reason", reason}});
    return kExitCannotStart;
  }
  Log(LogLevel::kInfo, "started", {{"zone", settings->zone.str()}});
  daemon.Run();
  Log(LogLevel::kInfo, "stopped", {});
  return kExitOk;
}

}  // namespace lynxglade
