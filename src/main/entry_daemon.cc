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
#include "main/entry_views.h"
#include "main/exit_status.h"
#include "platform/engine_orders.h"
#include "platform/store_client.h"
#include "platform/store_documents.h"
#include "platform/target_protocol.h"
#include "process/avoidance_sharing.h"
#include "process/change_relay.h"
#include "process/instance_presence.h"
#include "process/order_authority.h"
#include "process/peer_datagrams.h"
#include "process/prefill_sharing.h"
#include "process/prefix_follower.h"
#include "process/retry_loans.h"
#include "process/stage_orders.h"
#include "process/watch_sharing.h"
#include "request/passthrough/peer_prefills.h"
#include "request/passthrough/relay.h"

namespace lynxglade {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::CallerBounds;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::CallerServer;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::SleepFor;
using connection::event::Tcp;
using connection::event::View;
using process::PrefixFollower;
using process::StoreItem;
namespace asio = connection::event::asio;
namespace http = connection::event::http;

constexpr base::Duration kHousekeepingPeriod = std::chrono::milliseconds(250);
// After SIGTERM, before idle callers are closed: the balancer asks once a
// second and takes an instance out after two misses.
constexpr base::Duration kBalancerNotices = std::chrono::milliseconds(2500);
// Kept of the grace for the end of the process itself.
constexpr base::Duration kExitMargin = std::chrono::milliseconds(300);
constexpr base::Duration kDrainPoll = std::chrono::milliseconds(50);
// Everything the instances themselves write.
constexpr char kOwnPrefix[] = "lynxglade/";
// Between watches that brought changes. Where each instance watches for itself
// a burst of changes is to be one call of each; where few do, calls are cheap,
// and a change passes this pause twice on its way.
constexpr base::Duration kGather = std::chrono::milliseconds(800);
constexpr base::Duration kGatherShared = std::chrono::milliseconds(300);
// Without a request for so long, engines may change all at once.
constexpr base::Duration kIdleAfter = std::chrono::seconds(3);

Tcp::endpoint EndpointOf(const process::Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address),
          static_cast<std::uint16_t>(endpoint.port)};
}

}  // namespace

struct EntryDaemon::Details {
  explicit Details(const process::EntrySettings& s);

  CallerBounds Bounds() const;
  bool Ready() const;
  Awaitable<void> ServeHealth(std::shared_ptr<CallerRequest> request,
                              CallerReply& reply);
  void AddGauges();
  Awaitable<void> Housekeep();
  Awaitable<void> WaitForStop();
  Awaitable<void> Drain();
  void Spawn(Awaitable<void> task);
  request::passthrough::RelayDependencies MakeRelayParts();
  // What instances tell each other, at this address.
  void JoinPeers(const process::Endpoint& endpoint);
  process::PrefixFollowerHooks OwnKeysHooks();
  process::PrefixFollowerHooks StoreHooks();

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
  request::passthrough::PrefillTimes prefill_times;
  request::passthrough::GenerationTimes generation_times;
  request::passthrough::AnswerAdmission answers{generation_times};
  const request::passthrough::EngineCapacity room =
      [this](const request::passthrough::Engine& engine, base::Time now) {
        return answers.Capacity(engine, now);
      };
  request::passthrough::EnginePicker picker;
  request::passthrough::SharedRetryBudget allowance;
  process::InstancePresence presence;
  // What the followers watch: the store, or another instance that does.
  process::WatchSharing watches;
  process::OrderAuthority authority;
  process::StageOrders stage_orders;
  base::Time last_request{};
  // Of all keys: the operator's, the targets' and the instances' own.
  PrefixFollower store_follower;
  request::passthrough::Relay relay;
  CallerServer callers;
  CallerServer health;
  asio::signal_set signals{loop, SIGTERM, SIGINT, SIGHUP};
  // Only where there is a port for them.
  std::optional<process::PeerDatagrams> datagrams;
  std::optional<process::PrefillSharing> prefill_sharing;
  std::optional<process::AvoidanceSharing> avoidance_sharing;
  std::optional<process::RetryLoans> retry_loans;
  std::optional<process::ChangeRelay> change_relay;
  bool stopping = false;
  // New requests are refused: they might not be finished before the end.
  bool refusing = false;
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
            return peer_avoidance.Avoided(engine.entry.id, now);
          },
          room),
      allowance({.ratio = s.retry_ratio,
                 .allowance = s.retry_allowance,
                 .window = s.retry_window},
                [this](const base::ServiceName& service, double missing) {
                  if (retry_loans) {
                    retry_loans->RequestLoan(service, missing);
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
          [this]() -> const std::vector<process::InstancePeer>& {
            return presence.Peers();
          },
          process::MakeQueryRelay(loop, channels),
          clock,
          metrics),
      authority(store,
                presence,
                {.takeover_delay = s.order_takeover_delay},
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
          [this] { return clock() - last_request > kIdleAfter; },
          [this](const base::ServiceName& service) {
            return picker.Backlog(views.engines().OfService(service), clock());
          },
          room,
          clock,
          metrics),
      store_follower(loop,
                     watches,
                     {.batch_delay =
                          [this] {
                            return watches.IsSharing() ? kGatherShared
                                                       : kGather;
                          }},
                     StoreHooks(),
                     clock,
                     random,
                     metrics),
      relay(MakeRelayParts()),
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
          [] { return CallerBounds(); },
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
  const process::PrefillSharingOptions sharing{.instance = settings.instance,
                                               .zone = settings.zone};
  const Tcp::endpoint at = EndpointOf(endpoint);
  datagrams.emplace(loop, presence,
                    asio::ip::udp::endpoint{at.address(), at.port()}, metrics);
  prefill_sharing.emplace(views.engines(), presence, peer_prefills, *datagrams,
                          sharing, clock);
  const auto peers = [this, sharing] {
    return process::SharingPeers(presence.Peers(), sharing);
  };
  avoidance_sharing.emplace(views.engines(), peer_avoidance, *datagrams, peers,
                            process::AvoidanceSharingOptions{}, clock);
  retry_loans.emplace(allowance, *datagrams,
                      process::RetryLoansHooks{
                          .peers = peers,
                          .instance_count = [this] { return presence.Count(); },
                          .is_served =
                              [this](const base::ServiceName& service) {
                                return views.routes() &&
                                       views.routes()->FindService(service);
                              }},
                      process::RetryLoansOptions{}, clock, random, metrics);
  change_relay.emplace(loop, at, watches, clock, metrics);
}

process::PrefixFollowerHooks EntryDaemon::Details::StoreHooks() {
  return process::DispatchByPrefix(
      {{platform::kConfigurationKey, views.ConfigurationHooks()},
       {platform::kTargetsPrefix, views.TargetHooks()},
       {kOwnPrefix, OwnKeysHooks()}});
}

process::PrefixFollowerHooks EntryDaemon::Details::OwnKeysHooks() {
  return {
      .on_list =
          [this](const std::vector<StoreItem>& items) {
            presence.OnList(items);
            authority.OnList(items);
          },
      .on_change =
          [this](const StoreItem& it) {
            presence.OnChange(it);
            authority.OnChange(it);
          },
      .on_recovered = [] {},
  };
}

request::passthrough::RelayDependencies EntryDaemon::Details::MakeRelayParts() {
  return {.loop = loop,
          .channels = channels,
          .engines = views.engines(),
          .picker = picker,
          .prefill_times = prefill_times,
          .generation_times = generation_times,
          .answers = answers,
          .retry_budget = allowance,
          .zones = zones,
          .metrics = metrics,
          .clock = clock,
          .random = random,
          .protocol = platform::MakeTargetProtocol(),
          .routes = [this] { return views.routes(); },
          .accepts = [this] { return !refusing; },
          .instances = [this] { return presence.Count(); },
          .view_age =
              [this] {
                return store_follower.Age().value_or(base::Duration::max());
              }};
}

CallerBounds EntryDaemon::Details::Bounds() const {
  CallerBounds bounds;
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

// Read when the page is rendered, on the event loop.
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

Awaitable<void> EntryDaemon::Details::Housekeep() {
  while (true) {
    co_await SleepFor(loop, kHousekeepingPeriod);
    views.engines().Expire(clock());
    channels.Sweep();
  }
}

Awaitable<void> EntryDaemon::Details::WaitForStop() {
  while (true) {
    ErrorCode ec;
    const int number = co_await signals.async_wait(Into(ec));
    if (number != SIGHUP) {
      break;
    }
    // Flags and environment cannot change while the process runs.
    Log(LogLevel::kInfo, "reload_ignored",
        {{"reason", "settings are taken at the start"}});
  }
  co_await Drain();
  loop.stop();
}

// Not ready at once, but callers are taken until the balancer has noticed;
// then the process ends as soon as no request is under way.
Awaitable<void> EntryDaemon::Details::Drain() {
  Log(LogLevel::kInfo, "stop_begun", {{"busy", callers.busy()}});
  stopping = true;
  callers.BeginDrain();
  const base::Time begun = clock();
  const base::Time last = begun + settings.stop_grace - kExitMargin;
  stage_orders.Stop();
  Spawn(presence.Leave());
  while (clock() < last) {
    const bool noticed = clock() - begun >= kBalancerNotices;
    if (noticed) {
      // A balancer with too few other instances still sends requests here.
      refusing = true;
      callers.CloseIdle();
    }
    if (noticed && callers.connections() == 0) {
      break;
    }
    co_await SleepFor(loop, kDrainPoll);
  }
  Log(LogLevel::kInfo, "stop_done",
      {{"busy", callers.busy()}, {"ms", base::ToMillis(clock() - begun)}});
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
  if (details_->datagrams && !details_->datagrams->Start(reason)) {
    *reason = "--peer-listen: " + *reason;
    return false;
  }
  if (details_->datagrams) {
    details_->prefill_sharing->Start();
    details_->avoidance_sharing->Start();
    details_->retry_loans->Start();
  }
  if (details_->change_relay && !details_->change_relay->Start(reason)) {
    *reason = "--peer-listen: " + *reason;
    return false;
  }
  details_->Spawn(details_->store_follower.Run());
  details_->Spawn(details_->presence.Run());
  details_->Spawn(details_->stage_orders.Run());
  details_->Spawn(details_->Housekeep());
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
