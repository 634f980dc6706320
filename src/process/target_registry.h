// Registry of all known targets: merges the instance list, load reports and
// facts from other instances, and publishes an index for routing.
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

// Thread-safe. Index() takes no lock; other calls hold a mutex briefly.
class TargetRegistry {
 public:
  TargetRegistry();
  TargetRegistry(const TargetRegistry&) = delete;
  TargetRegistry& operator=(const TargetRegistry&) = delete;

  // Replaces the rows by the newest list. Targets not in it are removed
  // immediately.
  void SetRows(const connection::InstanceTable& list);
  // Applies a load report; an outdated one is ignored. Returns whether the
  // target's incarnation changed, that is, whether it crashed or was restarted
  // since its previous report.
  bool OnLoad(const connection::LoadReport& report);
  // Applies an engine's state as shared by other instances
  // (ViewKind::kTarget); older versions are ignored.
  void OnTargetView(const ViewItem& item);
  // The target rejected a request because it is in `state`. Overrides other
  // sources until the next newer load report or view.
  void OnTargetRefusal(const base::TargetId& id, request::TargetState state);

  // Publishes a new index if anything changed since the last one. Call a few
  // times a second; changes of state are published immediately without it.
  void Publish();

  // The current index for routing. Never null.
  std::shared_ptr<const request::TargetIndex> Index() const;
  std::vector<ListedTarget> Rows() const;

 private:
  struct Record {
    ListedTarget listed;
    request::Target target;
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool reported = false;
    // Role and model were set by a view; used until the first load report.
    bool described_by_view = false;
    bool reported_draining = false;
    // Shared by other instances; kServing until a view arrives.
    request::TargetState view_state = request::TargetState::kServing;
    ViewVersion view_version;
    std::optional<request::TargetState> refused_state;
  };

  static bool IsKnown(const Record& record) noexcept;
  static request::TargetState StateOf(const Record& record) noexcept;
  // Recomputes the target's state; returns whether it changed.
  static bool Refresh(Record& record) noexcept;
  void PublishLocked();
  // Publishes a change of state immediately. In a large fleet a newly known
  // target (`first`) is left to the next Publish().
  void PublishChange(bool first);
  // Returns whether any row is new or changed.
  bool TakeRows(const std::vector<connection::TargetRow>& rows, bool engines);

  mutable std::mutex mutex_;
  std::map<base::TargetId, Record> records_;
  bool dirty_ = false;
  // Targets that became known since the index was last published.
  std::size_t additions_ = 0;
  std::atomic<std::shared_ptr<const request::TargetIndex>> index_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_TARGET_REGISTRY_H_
