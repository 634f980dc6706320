// Keeps the target registry up to date.
//
// The instance list names the targets. Each instance polls its slice of the
// targets in its zone and shares their load reports within the zone. Targets in
// other zones are known from kTarget facts, published by the order holder of
// their zone, and from load reports attached to responses. Targets whose role
// and model are unknown are polled in any case.
//
// A few instances of each zone publish the rows of the instance list as facts.
// Rows newer than the local list are taken from these facts, also when the list
// itself cannot be read.
#ifndef LYNXGLADE_PROCESS_FLEET_WATCH_H_
#define LYNXGLADE_PROCESS_FLEET_WATCH_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "connection/instance_list.h"
#include "connection/load_report.h"
#include "process/load_poller.h"
#include "process/periodic_task.h"
#include "process/slices.h"
#include "process/target_registry.h"
#include "process/view_item.h"

namespace lynxglade::process {

struct FleetWatchOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  base::Duration list_interval = std::chrono::seconds(1);
  // How long after the start targets that are not yet known delay readiness.
  base::Duration readiness_timeout = std::chrono::seconds(5);
  // Delay after the start before list rows are published, so that the facts of
  // the peers arrive first.
  base::Duration publish_after = std::chrono::seconds(15);
  // Maximum number of facts published per refresh of the list.
  std::size_t publish_limit = 256;
  LoadPollerOptions poller;
};

// All must be thread-safe.
struct FleetWatchHooks {
  // Fetches the load report of one target; blocks for a bounded time.
  std::function<std::optional<connection::LoadReport>(const ListedTarget&)>
      fetch;
  // Called with every load report, polled or received from a peer.
  std::function<void(const connection::LoadReport&)> on_load;
  // Publishes a fact to the other instances.
  std::function<void(ViewItem)> publish;
  // The live instances of this zone, including this one.
  std::function<std::vector<base::InstanceId>()> zone_members;
  // Whether this instance is one of those that publish the list.
  std::function<bool()> should_publish_list;
  // All facts of the kind kListed.
  std::function<std::vector<ViewItem>()> listed_facts;
  base::Clock clock;
};

// Thread-safe. All references must outlive it.
class FleetWatch {
 public:
  FleetWatch(FleetWatchOptions options,
             FleetWatchHooks hooks,
             connection::InstanceList& list,
             TargetRegistry& registry,
             base::Metrics& metrics);
  ~FleetWatch();
  FleetWatch(const FleetWatch&) = delete;
  FleetWatch& operator=(const FleetWatch&) = delete;

  // Starts the threads that refresh the list and poll the targets.
  void Start();
  void Stop();

  // A fact of the kind kLoad, kTarget or kListed from a peer.
  void OnFact(const ViewItem& item);

  // Whether enough is known about the targets of this zone to serve: a list has
  // been read, from the platform or completely from peers, and role and model
  // of each target are known or the readiness timeout has passed.
  bool Ready() const;

  // The targets that this instance polls.
  std::vector<ListedTarget> OwnSlice() const;

 private:
  void RefreshList();
  void PublishList();
  void OnPolledReport(const connection::LoadReport& report);

  const FleetWatchOptions options_;
  const FleetWatchHooks hooks_;
  connection::InstanceList& list_;
  TargetRegistry& registry_;
  base::Metrics& metrics_;
  base::Time started_at_{};
  // Whether kListed facts arrived since `facts_` was last read.
  std::atomic<bool> facts_changed_{false};
  std::atomic<bool> list_known_{false};
  // Accessed on the list thread only: the facts as last read, and the revision
  // of the list that is completely published.
  std::vector<ViewItem> facts_;
  base::Revision published_revision_{0};
  std::unique_ptr<PeriodicTask> list_task_;
  std::unique_ptr<LoadPoller> poller_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_FLEET_WATCH_H_
