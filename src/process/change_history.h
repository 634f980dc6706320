// The newest changes of the store, as one instance has heard them, for others
// that ask what changed after a revision.
#ifndef LYNXGLADE_PROCESS_CHANGE_HISTORY_H_
#define LYNXGLADE_PROCESS_CHANGE_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "base/units.h"
#include "process/store_items.h"

namespace lynxglade::process {

struct ChangeHistoryOptions {
  // Changes and bytes of values that are kept; beyond either the oldest go. A
  // start of 300 instances writes 300 keys of about 60 bytes; an instance may
  // have 160 MB for all.
  std::size_t max_changes = 2000;
  std::size_t max_bytes = std::size_t{2} * 1024 * 1024;
};

// Not thread-safe.
class ChangeHistory {
 public:
  explicit ChangeHistory(ChangeHistoryOptions options = {});
  ChangeHistory(const ChangeHistory&) = delete;
  ChangeHistory& operator=(const ChangeHistory&) = delete;

  // What a watch from `after` brought. Where it does not join what is held,
  // the history begins anew at `after`.
  void Add(base::Revision after, const StoreItems& changes);

  // All changes after a revision; nothing if the history does not reach back
  // so far. A revision that is newer than the history has no changes yet.
  std::optional<StoreItems> After(base::Revision revision) const;

  // The revision up to which changes are known.
  base::Revision at() const noexcept { return at_; }

 private:
  void Trim();

  const ChangeHistoryOptions options_;
  // Changes up to this one are not held; nothing while nothing was heard.
  std::optional<base::Revision> start_;
  base::Revision at_;
  std::deque<StoreItem> changes_;
  std::size_t bytes_ = 0;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CHANGE_HISTORY_H_
