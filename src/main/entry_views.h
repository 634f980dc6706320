// An entry instance's view of the store: the configuration in force and the
// targets.
#ifndef LYNXGLADE_MAIN_ENTRY_VIEWS_H_
#define LYNXGLADE_MAIN_ENTRY_VIEWS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "process/peers/store_replica.h"
#include "process/store/prefix_follower.h"
#include "process/store/store_port.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/route_table.h"

namespace lynxglade {

namespace platform {
struct DocumentFault;
}

struct EntryViewsOptions {
  // Interval at which targets write their entries.
  base::Duration target_heartbeat = std::chrono::milliseconds(1200);
};

// Not thread-safe: runs on the event loop. Must outlive the followers that use
// its hooks.
class EntryViews {
 public:
  EntryViews(base::Clock clock,
             base::Metrics& metrics,
             EntryViewsOptions options = {});
  EntryViews(const EntryViews&) = delete;
  EntryViews& operator=(const EntryViews&) = delete;

  // For followers of the configuration's key and of the targets' prefix.
  process::store::PrefixFollowerHooks ConfigurationHooks();
  process::store::PrefixFollowerHooks TargetHooks();

  // The target that a store item describes.
  static std::optional<process::peers::ItemTarget> Classify(
      const process::store::StoreItem& item);

  // The configuration in force, null until the first was received. It is
  // replaced only by a valid configuration with a newer version.
  const std::shared_ptr<const request::passthrough::RouteTable>& routes()
      const noexcept {
    return routes_;
  }
  // Sets the sample of the targets that requests use.
  void UseLevels(const request::passthrough::SamplingLevels& levels);
  request::passthrough::EngineTable& engines() noexcept { return engines_; }
  // A configuration and a list of targets have been received.
  bool complete() const noexcept { return routes_ && targets_listed_; }

 private:
  void OnConfiguration(const process::store::StoreItem& item);
  void OnTarget(const process::store::StoreItem& item);
  void OnTargetList(const std::vector<process::store::StoreItem>& items);
  // Counts and logs an invalid entry, once per revision.
  void RecordRejected(const process::store::StoreItem& item,
                      const platform::DocumentFault& fault);

  const base::Clock clock_;
  base::Metrics& metrics_;
  const EntryViewsOptions options_;
  std::shared_ptr<const request::passthrough::RouteTable> routes_;
  request::passthrough::EngineTable engines_;
  bool targets_listed_ = false;
  // Revisions of invalid entries, by key.
  std::map<std::string, base::Revision> rejected_;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_ENTRY_VIEWS_H_
