#include "process/peers/change_history.h"

#include <algorithm>
#include <iterator>

namespace lynxglade::process::peers {

ChangeHistory::ChangeHistory(ChangeHistoryOptions options)
    : options_(options) {}

void ChangeHistory::Add(base::Revision after,
                        const store::StoreItems& changes) {
  if (!start_ || after > revision_) {
    start_ = after;
    revision_ = after;
    changes_.clear();
    bytes_ = 0;
  }
  for (const store::StoreItem& item : changes.items) {
    if (item.revision > revision_) {
      bytes_ += item.value.size();
      changes_.push_back(item);
    }
  }
  revision_ = std::max(revision_, changes.revision);
  EvictOldest();
}

std::optional<store::StoreItems> ChangeHistory::After(
    base::Revision revision) const {
  if (!start_ || revision < *start_) {
    return std::nullopt;
  }
  store::StoreItems found;
  found.revision = std::max(revision_, revision);
  std::ranges::copy_if(changes_, std::back_inserter(found.items),
                       [revision](const store::StoreItem& it) {
                         return it.revision > revision;
                       });
  return found;
}

// Changes of one revision are evicted together, so that After() never returns
// part of a revision.
void ChangeHistory::EvictOldest() {
  while (changes_.size() > options_.max_changes ||
         bytes_ > options_.max_bytes) {
    start_ = changes_.front().revision;
    while (!changes_.empty() && changes_.front().revision == *start_) {
      bytes_ -= changes_.front().value.size();
      changes_.pop_front();
    }
  }
}

}  // namespace lynxglade::process::peers
