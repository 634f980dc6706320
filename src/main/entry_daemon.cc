#include "main/entry_daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "connection/event/sleep.h"
#include "connection/event/tasks.h"
#include "main/details/entry_daemon_details.h"
#include "main/exit_status.h"
#include "main/tcp_endpoint.h"

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
using connection::event::RunLoop;
using connection::event::SleepFor;
using connection::event::Spawn;
using connection::event::SpawnPermanent;

constexpr base::Duration kMaintenancePeriod = std::chrono::milliseconds(250);
// After SIGTERM, before idle connections are closed. Allows for a load balancer
// that checks health once a second and removes an instance after two failures.
constexpr base::Duration kBalancerNoticeTime = std::chrono::milliseconds(2500);
// Part of the stop grace period reserved for the exit of the process, and for
// the answers to the requests that are ended before it.
constexpr base::Duration kExitMargin = std::chrono::milliseconds(300);
constexpr base::Duration kAnswerMargin = std::chrono::milliseconds(300);
constexpr base::Duration kDrainPollPeriod = std::chrono::milliseconds(50);
// Bound on the time from the confirmation of the authority to the arrival of a
// call: validity of the confirmation and timeout of the call.
constexpr base::Duration kCallFlightTime = std::chrono::milliseconds(1500);

}  // namespace

EntryDaemon::Details::Details(const process::EntrySettings& s)
    : settings(s),
      store(loop, channels, {.endpoint = EndpointOf(s.store)}, metrics),
      connector(loop,
                views.engines(),
                paths,
                {.choice = {.instance = s.instance, .zone = s.zone}},
                ConnectorHooks(),
                clock,
                random,
                metrics),
      target_channels(loop, clock, {}, connector.PoolHooks()),
      limits({.instance = s.instance}, LimitHooks(), clock, metrics),
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
          capacity,
          [this](request::passthrough::Engine& engine, base::Time now) {
            return limits.MaySend(engine, now);
          }),
      retry_budget(
          {.ratio = s.retry_ratio,
           .allowance = s.retry_allowance,
           .window = s.retry_window},
          [this](const base::ServiceName& service, double missing) {
            spending_mark.Request();
            if (peers) {
              peers->retry_loans().RequestLoan(service, missing);
            }
          },
          clock()),
      quarantine(
          QuarantineSettings(),
          s.instance,
          [this](const process::ViewItem& item) {
            if (peers) {
              peers->quarantine_sharing().OnPublish(item);
            }
          },
          [this](const request::QuarantineEvent& it) {
            OnQuarantineEvent(it);
          }),
      quarantine_records(loop, store, QuarantineHooks(), {}, clock, metrics),
      presence(loop,
               store,
               {.instance = s.instance,
                .zone = s.zone,
                .peer_endpoint = s.peer_listen,
                .link_mbps = static_cast<int>(s.link_mbps)},
               clock),
      spending_mark(
          loop,
          store,
          {.instance = s.instance, .count_time = retry_budget.StartPhase()},
          {.on_unmarked_start = [this] { retry_budget.ConfirmStart(); },
           .on_marked = [this](bool marked) { retry_budget.SetMarked(marked); },
           .needs_mark =
               [this] {
                 return retry_budget.NeedsMark(presence.Count(), clock());
               }},
          clock,
          random),
      watch_guard(loop, store, {}, clock, metrics),
      watches(loop,
              watch_guard,
              SharingOptions(),
              SharingHooks(),
              clock,
              random,
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
          OrderHooks(),
          {.instance = s.instance, .plan = {.decode_share = s.decode_share}},
          [this] {
            return views.routes() ? views.routes()->StagedServices()
                                  : std::vector<base::ServiceName>();
          },
          [this] { return IsIdle(); },
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
                     {.batch_delay = [this] { return BatchDelay(); }},
                     StoreHooks(),
                     clock,
                     random,
                     metrics),
      relay(MakeRelayDependencies()),
      callers(
          loop,
          {.endpoint = EndpointOf(s.listen),
           .max_connections = s.max_connections,
           .is_overloaded = [this] { return IsOverloaded(); }},
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

Awaitable<void> EntryDaemon::Details::RunMaintenance() {
  while (true) {
    co_await SleepFor(loop, kMaintenancePeriod);
    views.engines().Expire(clock());
    channels.CloseIdle();
    target_channels.CloseIdle();
    if (peers) {
      peers->quarantine_sharing().Tick();
    }
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
// balancer has had time to notice. What is still served near the end of the
// grace period is answered then. Returns once all connections are closed, or at
// the end of the grace period.
Awaitable<void> EntryDaemon::Details::Drain() {
  Log(LogLevel::kInfo, "stop_begun", {{"busy", callers.busy()}});
  stopping = true;
  callers.BeginDrain();
  const base::Time start = clock();
  const base::Time deadline = start + settings.stop_grace - kExitMargin;
  stop_at = deadline - kAnswerMargin;
  stage_orders.Stop();
  if (duties) {
    duties->Stop();
  }
  Spawn(loop, "leave_orders", authority.Leave());
  Spawn(loop, "leave_instances", presence.Leave());
  while (clock() < deadline) {
    const bool balancer_noticed = clock() - start >= kBalancerNoticeTime;
    if (clock() >= *stop_at) {
      rejecting = true;
      callers.StopAccepting();
      relay.EndAll();
      callers.EndReads();
    } else if (balancer_noticed) {
      // A load balancer with too few other instances still sends requests here.
      rejecting = true;
      callers.CloseIdle();
    }
    const bool tunnels_open = peers && peers->tunnels().open() > 0;
    if (rejecting && callers.connections() == 0 && !tunnels_open) {
      break;
    }
    co_await SleepFor(loop, kDrainPollPeriod);
  }
  Log(LogLevel::kInfo, "stop_done",
      {{"busy", callers.busy()}, {"ms", base::ToMillis(clock() - start)}});
}

EntryDaemon::EntryDaemon(const process::EntrySettings& settings)
    : details_(std::make_unique<Details>(settings)) {
  details_->AddGauges();
}

EntryDaemon::~EntryDaemon() {
  details_->loop.EndTasks();
}

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
  Details& it = *details_;
  SpawnPermanent(it.loop, "store", [&it] { return it.store_follower.Run(); });
  SpawnPermanent(it.loop, "presence", [&it] { return it.presence.Run(); });
  SpawnPermanent(it.loop, "spending_mark",
                 [&it] { return it.spending_mark.Run(); });
  SpawnPermanent(it.loop, "authority", [&it] { return it.authority.Run(); });
  SpawnPermanent(it.loop, "stage_orders",
                 [&it] { return it.stage_orders.Run(); });
  it.loop_lag.Start();
  SpawnPermanent(it.loop, "maintenance", [&it] { return it.RunMaintenance(); });
  SpawnPermanent(it.loop, "stop", [&it] { return it.WaitForStop(); });
  return true;
}

void EntryDaemon::Run() {
  RunLoop(details_->loop);
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
