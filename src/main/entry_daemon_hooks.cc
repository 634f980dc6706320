// How the parts of the entry daemon are connected: hooks, readiness and
// metrics.
#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "main/details/entry_daemon_details.h"
#include "platform/engine_orders.h"
#include "platform/store_documents.h"
#include "platform/target_protocol.h"
#include "process/peers/change_relay.h"

namespace lynxglade {

namespace {

using connection::event::Awaitable;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::CallerServerLimits;
using connection::event::View;
using process::store::StoreItem;
namespace http = connection::event::http;

// Prefix of all keys that instances write.
constexpr char kInstanceKeysPrefix[] = "lynxglade/";
// After this time without a request, all engines may change stage, or be
// replaced, at once.
constexpr base::Duration kIdleTimeout = std::chrono::seconds(3);
// An instance whose event loop is later than this has no processor time left
// for others.
// Standing lags at which this instance begins to leave new connections unread,
// and ends it. A request waits for the loop a dozen times before its answer.
constexpr base::Duration kBeginOfOverloadLag = std::chrono::milliseconds(40);
constexpr base::Duration kEndOfOverloadLag = std::chrono::milliseconds(20);
constexpr base::Duration kMaxLoopLag = std::chrono::milliseconds(50);
// Delay after a watch that returned changes, to batch a burst of changes. It is
// shorter if one instance watches the store for the others: its calls cost
// little, and a change is delayed at each step of the way.
constexpr base::Duration kBatchDelay = std::chrono::milliseconds(800);
constexpr base::Duration kSharedBatchDelay = std::chrono::milliseconds(300);
constexpr base::Duration kRelayedBatchDelay = std::chrono::milliseconds(100);

}  // namespace

process::peers::TargetConnectorHooks EntryDaemon::Details::ConnectorHooks() {
  return {
      .peers = [this]() -> const std::vector<process::peers::InstancePeer>& {
        return presence.Peers();
      },
      .on_cut =
          [this](request::passthrough::Engine& target) {
            target.health.Clear();
            zones.OnReached(target.entry.zone);
          }};
}

request::passthrough::ReachTarget
EntryDaemon::Details::ReachThroughConnector() {
  return [this](request::passthrough::EngineHandle target) {
    return connector.Reach(std::move(target));
  };
}

void EntryDaemon::Details::JoinPeers(const process::Endpoint& endpoint) {
  peers.emplace(
      EntryPeersDependencies{
          .loop = loop,
          .presence = presence,
          .watches = watches,
          .engines = views.engines(),
          .paths = paths,
          .prefills = peer_prefills,
          .avoidance = peer_avoidance,
          .retry_budget = retry_budget,
          .limits = limits,
          .served_shares = served_shares,
          .quarantine = quarantine,
          .view_age = [this] { return ViewAge(); },
          .is_served =
              [this](const base::ServiceName& service) {
                return views.routes() && views.routes()->FindService(service);
              },
          .busy = [this] { return stopping || loop_lag.last() > kMaxLoopLag; },
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
            .view_age = [this] { return ViewAge(); },
            .idle = [this] { return IsIdle(); },
            .clock = clock,
            .random = random,
            .metrics = metrics},
        settings, *settings.duty_calls);
  }
}

process::peers::WatchSharingOptions EntryDaemon::Details::SharingOptions()
    const {
  return {.selection = {.instance = settings.instance,
                        .zone = settings.zone,
                        .link_mbps = static_cast<int>(settings.link_mbps)},
          .instances_prefix = kInstanceKeysPrefix,
          // Orders for engines are planned from the number of all engines.
          .follows_everything = settings.duties.contains(process::kScalingDuty),
          .turns = {.store_link_mbps = settings.store_link_mbps}};
}

process::peers::WatchSharingHooks EntryDaemon::Details::SharingHooks() {
  return {
      .peers = [this]() -> const std::vector<process::peers::InstancePeer>& {
        return presence.Peers();
      },
      .query_relay = process::peers::MakeQueryRelay(loop, channels),
      .classify = EntryViews::Classify,
      .on_instance_keys =
          [this](const std::vector<StoreItem>& items) {
            std::ranges::for_each(
                items, [this](const StoreItem& it) { presence.OnChange(it); });
          },
      .use_levels =
          [this](const request::passthrough::SamplingLevels& levels) {
            views.UseLevels(levels);
          },
      .take_placements =
          [this] {
            return std::exchange(placements,
                                 request::passthrough::PlacementCounts());
          }};
}

base::Duration EntryDaemon::Details::BatchDelay() const {
  using Role = process::peers::WatchSharing::Role;
  switch (watches.CurrentRole()) {
    case Role::kAlone:
      return kBatchDelay;
    case Role::kPrimary:
      return kSharedBatchDelay;
    case Role::kSecondary:
    case Role::kFollower:
      break;
  }
  return kRelayedBatchDelay;
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
            quarantine_records.OnList(items);
            authority.OnList(items);
            if (duties) {
              duties->OnList(items);
            }
          },
      .on_change =
          [this](const StoreItem& it) {
            presence.OnChange(it);
            quarantine_records.OnChange(it);
            authority.OnChange(it);
            if (duties) {
              duties->OnChange(it);
            }
          },
      .on_recovered = [](base::Duration) {},
  };
}

request::passthrough::RelayDependencies
EntryDaemon::Details::MakeRelayDependencies() {
  return {
      .loop = loop,
      .channels = target_channels,
      .engines = views.engines(),
      .picker = picker,
      .prefill_times = prefill_times,
      .generation_times = generation_times,
      .answers = answers,
      .forecast_errors = forecast_errors,
      .served_shares = served_shares,
      .retry_budget = retry_budget,
      .limits = limits,
      .quarantine = quarantine,
      .crash_checks = crash_checks,
      .zones = zones,
      .run_times = run_times,
      .metrics = metrics,
      .clock = clock,
      .random = random,
      .protocol = platform::MakeTargetProtocol(),
      .routes = [this] { return views.routes(); },
      .accepts = [this] { return !rejecting; },
      .time_to_stop =
          [this] {
            return stop_at ? std::optional(std::max(*stop_at - clock(),
                                                    base::Duration::zero()))
                           : std::nullopt;
          },
      .instances = [this] { return presence.Count(); },
      .view_age = [this] { return ViewAge(); },
      .on_placed =
          [this](bool crowded) {
            ++placements.placed;
            placements.crowded += crowded ? 1 : 0;
          },
      .on_run =
          [this](const base::OrganisationId& organisation, base::Time began) {
            if (duties) {
              duties->CountRun(organisation, began);
            }
          }};
}

request::passthrough::SendLimitsHooks EntryDaemon::Details::LimitHooks() {
  return {.members =
              [this] {
                const auto& peers = presence.Peers();
                std::vector<request::passthrough::FleetMember> members;
                std::ranges::transform(
                    peers, std::back_inserter(members),
                    [](const process::peers::InstancePeer& it) {
                      return request::passthrough::FleetMember{it.instance,
                                                               it.zone};
                    });
                return members;
              },
          .members_version = [this] { return presence.peers_version(); },
          .instance_count = [this] { return presence.Count(); },
          .view_age = [this] { return ViewAge(); },
          .on_own_change =
              [this](const request::passthrough::Engine& engine,
                     const request::passthrough::AnswerTimes& times) {
                if (peers) {
                  peers->limit_sharing().OnOwnChange(engine, times);
                }
              }};
}

bool EntryDaemon::Details::IsOverloaded() {
  const base::Duration lag = loop_lag.standing();
  const bool now = lag > (overloaded ? kEndOfOverloadLag : kBeginOfOverloadLag);
  if (std::exchange(overloaded, now) != now) {
    base::Log(
        base::LogLevel::kWarning, "overload",
        {{"begins", now},
         {"lag_ms", base::ToMillis(lag)},
         {"connections", static_cast<std::int64_t>(callers.connections())},
         {"busy", static_cast<std::int64_t>(callers.busy())}});
  }
  return now;
}

process::stages::StageOrderHooks EntryDaemon::Details::OrderHooks() {
  using request::passthrough::EngineHandle;
  process::stages::StageOrderHooks hooks =
      platform::MakeStageOrderHooks(loop, channels);
  hooks.cut_off = [this](const base::ServiceName& service) {
    const auto& targets = views.engines().OfService(service);
    const auto cut = std::ranges::count_if(
        targets, [this](const request::passthrough::EngineHandle& it) {
          return paths.PathTo(it->entry, clock()) ==
                 request::passthrough::TargetPath::kThroughOthers;
        });
    return 2 * cut > std::ssize(targets);
  };
  hooks.report = [this, report = hooks.report](EngineHandle engine) {
    limits.OnSend(*engine, clock());
    return report(std::move(engine));
  };
  hooks.order = [this, order = hooks.order](EngineHandle engine,
                                            process::stages::StageOrder it) {
    limits.OnSend(*engine, clock());
    return order(std::move(engine), std::move(it));
  };
  return hooks;
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

bool EntryDaemon::Details::IsIdle() const {
  return clock() - last_request > kIdleTimeout;
}

base::Duration EntryDaemon::Details::ViewAge() const {
  return store_follower.Age().value_or(base::Duration::max());
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
  metrics.AddGauge("lynxglade_limits_in_force", {}, [this] {
    int n = 0;
    views.engines().ForEach([&n](const request::passthrough::Engine& engine) {
      n += engine.limit.named.rate() ? 1 : 0;
    });
    return static_cast<double>(n);
  });
  metrics.AddGauge("lynxglade_contents_suspected", {}, [this] {
    return static_cast<double>(quarantine.Count(clock()).suspects);
  });
  metrics.AddGauge("lynxglade_contents_quarantined", {}, [this] {
    return static_cast<double>(quarantine.Count(clock()).quarantined);
  });
  const auto add_budget_gauge =
      [this](const char* part,
             double request::passthrough::RetryBudgetUse::* value) {
        metrics.AddGauge(
            "lynxglade_retry_budget", {{"part", part}}, [this, value] {
              return retry_budget.Use(presence.Count(), clock()).*value;
            });
      };
  using Use = request::passthrough::RetryBudgetUse;
  add_budget_gauge("share", &Use::share);
  add_budget_gauge("spent", &Use::spent);
  add_budget_gauge("lent", &Use::lent);
  add_budget_gauge("reserved", &Use::reserved);
  add_budget_gauge("borrowed", &Use::borrowed);
  metrics.AddGauge("lynxglade_targets_used", {}, [this] {
    return static_cast<double>(views.engines().used());
  });
  for (const auto role : {process::peers::WatchSharing::Role::kAlone,
                          process::peers::WatchSharing::Role::kPrimary,
                          process::peers::WatchSharing::Role::kSecondary,
                          process::peers::WatchSharing::Role::kFollower}) {
    metrics.AddGauge(
        "lynxglade_watch_role", {{"role", std::string(ToString(role))}},
        [this, role] { return watches.CurrentRole() == role ? 1.0 : 0.0; });
  }
  metrics.AddGauge("lynxglade_relay_queries_waiting", {}, [this] {
    return static_cast<double>(watches.waiting_queries());
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
  metrics.AddGauge("lynxglade_connections_opened", {}, [this] {
    return static_cast<double>(channels.opened() + target_channels.opened());
  });
  metrics.AddGauge("lynxglade_targets_through_others", {}, [this] {
    return static_cast<double>(paths.CountThroughOthers(clock()));
  });
  metrics.AddGauge("lynxglade_tunnels_open", {}, [this] {
    return peers ? static_cast<double>(peers->tunnels().open()) : 0;
  });
  metrics.AddGauge("lynxglade_callers_connected", {}, [this] {
    return static_cast<double>(callers.connections());
  });
}

}  // namespace lynxglade
