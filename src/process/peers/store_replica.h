// The latest state of the store's keys, from which a relay serves the changes
// that other instances ask for.
//
// Holds one item a key instead of a log of changes, so that it is bounded by
// the number of keys and serves an instance that lags behind by any amount.
// Entries of targets that the instances do not use (see EngineSampling) are
// held, too, but passed only to those that ask for everything.
#ifndef LYNXGLADE_PROCESS_PEERS_STORE_REPLICA_H_
#define LYNXGLADE_PROCESS_PEERS_STORE_REPLICA_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "process/store/store_items.h"
#include "request/passthrough/engine_sampling.h"

namespace lynxglade::process::peers {

// The target that an item describes.
struct ItemTarget {
  base::TargetId id;
  request::passthrough::EngineGroup group;
};

// Returns nullopt for an item that is no target's entry, or an invalid one.
using ClassifyItem =
    std::function<std::optional<ItemTarget>(const store::StoreItem& item)>;

struct StoreReplicaOptions {
  // Deletions that are remembered. An instance that lacks an older one needs a
  // snapshot.
  std::size_t max_deletions = 4096;
};

// Items in the order of their revisions.
struct ReplicaPage {
  // `revision` is that up to which the page is complete.
  store::StoreItems changes;
  // The byte limit was reached: more follow after `changes.revision`.
  bool more = false;
};

// Not thread-safe.
class StoreReplica {
 public:
  explicit StoreReplica(ClassifyItem classify,
                        StoreReplicaOptions options = {});
  StoreReplica(const StoreReplica&) = delete;
  StoreReplica& operator=(const StoreReplica&) = delete;

  // Takes a complete listing.
  void Reset(const store::StoreItems& listed);
  // Takes the complete result of a watch from `after`. A gap before `after`
  // drops the contents.
  void Apply(base::Revision after, const store::StoreItems& changes);
  // Drops the contents.
  void Clear();

  // Whether a listing was taken and no gap followed.
  bool listed() const noexcept { return listed_; }
  // Whether all keys are known as of `revision()`. Not right after a listing
  // whose items are newer than its own revision, as pages of a listing may be
  // of different age.
  bool complete() const noexcept {
    return listed_ && revision_ >= newest_item_;
  }
  // The revision up to which it is complete.
  base::Revision revision() const noexcept { return revision_; }
  // Number of target entries by group.
  const std::map<request::passthrough::EngineGroup, std::size_t>& group_sizes()
      const noexcept {
    return group_sizes_;
  }

  // The newest item of each key that exists.
  std::vector<store::StoreItem> ExistingItems() const;

  // Returns the items above a revision, one a key, until their values exceed
  // `max_bytes`; items of one revision stay together. Targets outside of
  // `sample` are left out; all items are included if it is null. Returns
  // nullopt if it is not complete, or does not remember all deletions since
  // `after`; none are needed after revision 0, at which nothing was known.
  std::optional<ReplicaPage> After(
      base::Revision after,
      const request::passthrough::SamplingLevels* sample,
      std::size_t max_bytes) const;
  // Returns a page of a snapshot: the items that exist, and the deletions after
  // `start`, which is revision() at the first page. Returns nullopt as After()
  // does.
  std::optional<ReplicaPage> Snapshot(
      base::Revision after,
      base::Revision start,
      const request::passthrough::SamplingLevels* sample,
      std::size_t max_bytes) const;

 private:
  struct Record {
    store::StoreItem item;
    // Kept when the item is deleted, so that the deletion reaches the same
    // instances as the entry did.
    std::optional<ItemTarget> target;
  };
  using Position = std::pair<base::Revision, std::string>;

  void ApplyItem(const store::StoreItem& item);
  void RemoveRecord(const std::string& key);
  void ForgetOldDeletions();
  ReplicaPage PageAfter(base::Revision after,
                        base::Revision deletions_after,
                        const request::passthrough::SamplingLevels* sample,
                        std::size_t max_bytes) const;

  const ClassifyItem classify_;
  const StoreReplicaOptions options_;
  bool listed_ = false;
  base::Revision revision_;
  base::Revision newest_item_;
  // Deletions up to this revision may have been forgotten.
  base::Revision deletions_known_after_;
  std::map<Position, Record> records_;
  // Position of each key in `records_`.
  std::map<std::string, base::Revision> revision_of_;
  // Deletions, oldest first; may contain positions that no longer exist.
  std::deque<Position> deletions_;
  std::map<request::passthrough::EngineGroup, std::size_t> group_sizes_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_STORE_REPLICA_H_
