// State of the entry daemon; implementation detail of entry_daemon.h. Start and
// stop are in entry_daemon.cc, hooks between the parts in
// entry_daemon_hooks.cc.
#ifndef LYNXGLADE_MAIN_DETAILS_ENTRY_DAEMON_DETAILS_H_
#define LYNXGLADE_MAIN_DETAILS_ENTRY_DAEMON_DETAILS_H_

#include <memory>
#include <optional>

#include <boost/asio/signal_set.hpp>

#include "base/metrics.h"
#include "base/random.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "connection/event/loop_lag.h"
#include "connection/event/tasks.h"
#include "main/entry_daemon.h"
#include "main/entry_duties.h"
#include "main/entry_peers.h"
#include "main/entry_views.h"
#include "platform/store_client.h"
#include "process/duties/duty_holder.h"
#include "process/peers/instance_presence.h"
#include "process/peers/quarantine_records.h"
#include "process/peers/spending_mark.h"
#include "process/peers/target_connector.h"
#include "process/peers/watch_sharing.h"
#include "process/stages/stage_orders.h"
#include "process/store/prefix_follower.h"
#include "process/store/watch_guard.h"
#include "request/passthrough/crash_checks.h"
#include "request/passthrough/peer_avoidance.h"
#include "request/passthrough/peer_prefills.h"
#include "request/passthrough/relay.h"
#include "request/passthrough/sample_demand.h"
#include "request/passthrough/send_limits.h"
#include "request/passthrough/target_paths.h"
#include "request/quarantine.h"

namespace lynxglade {

struct EntryDaemon::Details {
  explicit Details(const process::EntrySettings& s);

  connection::event::CallerServerLimits Bounds() const;
  bool Ready() const;
  // Whether this instance has received no request for a while.
  bool IsIdle() const;
  // Age of the view of the targets; Duration::max() before the first.
  base::Duration ViewAge() const;
  connection::event::Awaitable<void> ServeHealth(
      std::shared_ptr<connection::event::CallerRequest> request,
      connection::event::CallerReply& reply);
  void AddGauges();
  connection::event::Awaitable<void> RunMaintenance();
  connection::event::Awaitable<void> WaitForStop();
  connection::event::Awaitable<void> Drain();
  request::passthrough::RelayDependencies MakeRelayDependencies();
  request::passthrough::SendLimitsHooks LimitHooks();
  // Calls to engines, which count against the limits that these name.
  process::stages::StageOrderHooks OrderHooks();
  void OnQuarantineEvent(const request::QuarantineEvent& event);
  // Whether this instance has more requests than it can serve in time.
  bool IsOverloaded();
  request::QuarantineOptions QuarantineSettings();
  process::peers::QuarantineRecordsHooks QuarantineHooks();
  process::peers::TargetConnectorHooks ConnectorHooks();
  request::passthrough::ReachTarget ReachThroughConnector();
  // Starts the exchange with peer instances through this address.
  void JoinPeers(const process::Endpoint& endpoint);
  process::store::PrefixFollowerHooks InstanceKeysHooks();
  process::store::PrefixFollowerHooks StoreHooks();
  process::peers::WatchSharingOptions SharingOptions() const;
  process::peers::WatchSharingHooks SharingHooks();
  // Delay after a watch that returned changes, to batch a burst of changes.
  base::Duration BatchDelay() const;

  const process::EntrySettings settings;
  const base::Clock clock = base::BootClock::now;
  const base::RandomSource random = base::SystemRandom();
  connection::event::EventLoop loop;
  base::Metrics metrics;
  connection::event::LoopLag loop_lag{loop, clock};
  // Direct connections, to the platform and to other instances; also those of
  // orders, which a target takes as given by the instance that connects.
  connection::event::ChannelPool channels{loop, clock};
  platform::StoreClient store;

  EntryViews views{clock,
                   metrics,
                   {.target_heartbeat = settings.target_heartbeat}};
  request::passthrough::TargetPaths paths;
  process::peers::TargetConnector connector;
  // Connections for requests, some of which lead through other instances.
  connection::event::ChannelPool target_channels;
  request::passthrough::PeerPrefills peer_prefills;
  request::passthrough::PeerAvoidance peer_avoidance;
  request::passthrough::ZoneHealth zones;
  request::passthrough::RunTimes run_times;
  request::passthrough::PrefillTimes prefill_times;
  request::passthrough::GenerationTimes generation_times;
  request::passthrough::AnswerAdmission answers{generation_times, random};
  request::passthrough::ForecastErrors forecast_errors;
  request::passthrough::ServedShares served_shares{random};
  const request::passthrough::EngineCapacity capacity =
      [this](const request::passthrough::Engine& engine, base::Time now) {
        return answers.Capacity(engine, now);
      };
  request::passthrough::SendLimits limits;
  request::passthrough::EnginePicker picker;
  request::passthrough::SharedRetryBudget retry_budget;
  request::Quarantine quarantine;
  request::passthrough::CrashChecks crash_checks{
      loop, quarantine, {}, clock, metrics, ReachThroughConnector()};
  process::peers::QuarantineRecords quarantine_records;
  process::peers::InstancePresence presence;
  process::peers::SpendingMark spending_mark;
  // Calls that only follow the store.
  process::store::WatchGuard watch_guard;
  // Source of the store follower: the store, or another instance that watches
  // it.
  process::peers::WatchSharing watches;
  process::duties::DutyHolder authority;
  process::stages::StageOrders stage_orders;
  base::Time last_request{};
  // Follows all keys: of the configuration, the targets and the instances.
  process::store::PrefixFollower store_follower;
  request::passthrough::Relay relay;
  connection::event::CallerServer callers;
  connection::event::CallerServer health;
  connection::event::asio::signal_set signals{loop, SIGTERM, SIGINT, SIGHUP};
  // Set only if a peer address is configured.
  std::optional<EntryPeers> peers;
  // Set only if, in addition, the address of the platform's calls is.
  std::optional<EntryDuties> duties;
  // Requests placed since they were last told to a relay.
  request::passthrough::PlacementCounts placements;
  bool stopping = false;
  bool overloaded = false;
  // New requests are rejected, as they might not finish before the process
  // exits.
  bool rejecting = false;
  // When all requests are ended; nothing unless the process is stopping.
  std::optional<base::Time> stop_at;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_DETAILS_ENTRY_DAEMON_DETAILS_H_
