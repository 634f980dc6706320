// A bounded history of the latest store changes, from which a relay serves
// other instances' queries for the changes after a revision.
#ifndef LYNXGLADE_PROCESS_PEERS_CHANGE_HISTORY_H_
#define LYNXGLADE_PROCESS_PEERS_CHANGE_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "base/units.h"
#include "process/store/store_items.h"

namespace lynxglade::process::peers {

struct ChangeHistoryOptions {
  // Limits on the number of changes and on the bytes of their values; the
  // oldest are evicted when either is exceeded. Sized to hold the keys that
  // hundreds of instances write when they start together.
  std::size_t max_changes = 2000;
  std::size_t max_bytes = std::size_t{2} * 1024 * 1024;
};

// Not thread-safe.
class ChangeHistory {
 public:
  explicit ChangeHistory(ChangeHistoryOptions options = {});
  ChangeHistory(const ChangeHistory&) = delete;
  ChangeHistory& operator=(const ChangeHistory&) = delete;

  // Appends the result of a watch from `after`. If there is a gap between the
  // history and `after`, the history restarts at `after`.
  void Add(base::Revision after, const store::StoreItems& changes);

  // Returns all changes after a revision, or nullopt if the history does not
  // reach back to it. Empty for a revision newer than the history.
  std::optional<store::StoreItems> After(base::Revision revision) const;

  // The revision up to which the history is complete.
  base::Revision revision() const noexcept { return revision_; }

 private:
  void EvictOldest();

  const ChangeHistoryOptions options_;
  // The history holds changes after this revision; empty before the first
  // Add().
  std::optional<base::Revision> start_;
  base::Revision revision_;
  std::deque<store::StoreItem> changes_;
  std::size_t bytes_ = 0;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_CHANGE_HISTORY_H_
