// All targets in view, gathered from the instance list, from load reports and
// from what other instances say; published as one index for routing.
#ifndef LYNXGLADE_PROCESS_TARGET_REGISTRY_H_
#define LYNXGLADE_PROCESS_TARGET_REGISTRY_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "connection/instance_list.h"
#include "connection/load_report.h"
#include "process/listed_rows.h"
#include "process/view_item.h"
#include "request/target.h"
#include "request/target_index.h"

namespace lynxglade::process {

// Thread-safe; a short lock a call, none for Index().
class TargetRegistry {
 public:
  TargetRegistry();
  TargetRegistry(const TargetRegistry&) = delete;
  TargetRegistry& operator=(const TargetRegistry&) = delete;

  // Takes the newest list: targets not in it are dropped at once; new ones are
  // added.
  void SetRows(const connection::InstanceTable& list);
  // Takes a report; an older one than is held is ignored. Returns whether the
  // target runs under another incarnation than before: it has crashed or was
  // restarted since.
  bool OnLoad(const connection::LoadReport& report);
  // Takes an engine's state from the views (ViewKind::kTarget); older versions
  // are ignored.
  void OnTargetView(const ViewItem& item);
  // The target itself said that it takes no new work now. Holds until a newer
  // load report or view says otherwise.
  void OnTargetRefusal(const base::TargetId& id, request::TargetState state);

  // Makes a new index when something changed since the last. Call a few times
  // a second; changes of state are published at once without it.
  void Publish();

  // What routing reads. Never null.
  std::shared_ptr<const request::TargetIndex> Index() const;
  std::vector<ListedTarget> Rows() const;

 private:
  struct Record {
    ListedTarget listed;
    request::Target target;
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool reported = false;
    // A view said what it runs; counts until the first report.
    bool described = false;
    bool reported_draining = false;
    // From the views; kServing when nothing was heard.
    request::TargetState viewed = request::TargetState::kServing;
    ViewVersion view_version;
    std::optional<request::TargetState> refused_as;
  };

  static bool IsKnown(const Record& record) noexcept;
  static request::TargetState StateOf(const Record& record) noexcept;
  // Updates the record's published state; true when it changed.
  static bool Refresh(Record& record) noexcept;
  void PublishLocked();
  // A change of state is published at once; a target that became known
  // (`first`) may wait for Publish() in a large fleet.
  void PublishChange(bool first);
  // Returns whether any row is new or differs.
  bool TakeRows(const std::vector<connection::TargetRow>& rows, bool engines);

  mutable std::mutex mutex_;
  std::map<base::TargetId, Record> records_;
  bool dirty_ = false;
  // Targets that became known since the index was made.
  std::size_t additions_ = 0;
  std::atomic<std::shared_ptr<const request::TargetIndex>> index_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_TARGET_REGISTRY_H_
