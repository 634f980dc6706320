// Keeps the registry of targets up to date.
//
// The instance list says which targets there are. Of the own zone's targets,
// each instance polls its slice and tells the others of the zone. Targets of
// other zones are known by what their zone's order holder tells, and by the
// load that comes with answers; one that nobody told of yet is polled too.
//
// A few instances of each zone tell the others what the list says; rows that
// are newer than the own list are taken from there, also when the own list
// never came.
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
  // How long targets may stay silent before they no longer hold up readiness.
  base::Duration readiness_timeout = std::chrono::seconds(5);
  // A new instance first hears what peers hold before it tells of the list.
  base::Duration publish_after = std::chrono::seconds(15);
  // Rows told at each refresh, at most.
  std::size_t publish_limit = 256;
  LoadPollerOptions poller;
};

// All must be thread-safe.
struct FleetWatchHooks {
  // Asks one target; blocks for a bounded time.
  std::function<std::optional<connection::LoadReport>(const ListedTarget&)>
      fetch;
  // Gets every report, polled or heard.
  std::function<void(const connection::LoadReport&)> on_load;
  // Tells the zone.
  std::function<void(ViewItem)> publish;
  // The live instances of the own zone, this one included.
  std::function<std::vector<base::InstanceId>()> zone_members;
  // Whether this instance is one of those that tell of the list.
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
  // Stops.
  ~FleetWatch();
  FleetWatch(const FleetWatch&) = delete;
  FleetWatch& operator=(const FleetWatch&) = delete;

  // Starts the threads.
  void Start();
  void Stop();

  // A fact of the kind kLoad, kTarget or kListed from a peer.
  void OnFact(const ViewItem& item);

  // Whether the targets of the own zone are known well enough to serve: a list
  // has come, from the platform or whole from peers, and each of them said what
  // it runs or had `patience` to do so.
  bool Ready() const;

  // Targets that this instance polls now.
  std::vector<ListedTarget> OwnSlice() const;

 private:
  void RefreshList();
  void TellOfList();
  void OnPolled(const connection::LoadReport& report);

  const FleetWatchOptions options_;
  const FleetWatchHooks hooks_;
  connection::InstanceList& list_;
  TargetRegistry& registry_;
  base::Metrics& metrics_;
  base::Time started_{};
  // Facts of the kind kListed came since they were last read.
  std::atomic<bool> facts_changed_{false};
  std::atomic<bool> list_known_{false};
  // Only on the list's thread: the facts as last read, and the revision of the
  // list of which nothing is left to tell.
  std::vector<ViewItem> facts_;
  base::Revision told_{0};
  std::unique_ptr<PeriodicTask> list_task_;
  std::unique_ptr<LoadPoller> poller_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_FLEET_WATCH_H_
