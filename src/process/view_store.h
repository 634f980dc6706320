// The facts that this instance holds: the newest version of each, never an
// older one.
//
// Pure: time comes in through the clock, nothing is sent. Two stores compare
// themselves by a digest (one hash for each of kDigestBuckets buckets of
// keys), then by a summary of the buckets that differ, and exchange only the
// facts that one of them lacks. Load reports are left out of that: they are
// passed on by whoever made them and are soon replaced.
#ifndef LYNXGLADE_PROCESS_VIEW_STORE_H_
#define LYNXGLADE_PROCESS_VIEW_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "process/peer_messages.h"
#include "process/view_item.h"

namespace lynxglade::process {

inline constexpr std::size_t kDigestBuckets = 128;
// Kinds are numbered from 1.
inline constexpr std::size_t kViewKinds = 9;

// "instance", "target", ... as counters and operators see it.
std::string_view ToString(ViewKind kind) noexcept;

// How facts of one kind are kept.
struct ViewKindRules {
  // Facts older than this are dropped; zero keeps them for good.
  base::Duration time_to_live{};
  std::size_t max_items = 0;
  // When full, whether the item of the lowest version makes room; otherwise
  // further keys are refused.
  bool evict_lowest_version = false;
};

using ViewRules = std::array<ViewKindRules, kViewKinds>;
// What the daemon uses; the reasons are in the design note.
ViewRules DefaultViewRules();

enum class MergeResult {
  // Taken; it was newer than what was held.
  kNewer,
  // Held already.
  kKnown,
  // A newer version is held, or was before it expired.
  kOlder,
  kExpired,
  kFull,
};

// Names a held fact.
struct ViewName {
  ViewKind kind = ViewKind::kInstance;
  std::string key;
  auto operator<=>(const ViewName&) const = default;
};

// When the facts of a kind were made.
struct ViewAges {
  base::Time newest{};
  base::Time oldest{};
};

// Not thread-safe.
class ViewStore {
 public:
  ViewStore(ViewRules rules, base::Clock clock);
  ViewStore(const ViewStore&) = delete;
  ViewStore& operator=(const ViewStore&) = delete;

  // Takes the fact if it is newer. Of two bodies under the same version the
  // greater one wins, so that all stores end with the same.
  MergeResult Merge(const ViewItem& item);
  // Drops what has outlived its kind's time; returns how many.
  std::size_t Expire();

  // Null when not held. Valid until the next Merge or Expire.
  const ViewItem* Find(const ViewName& name) const;
  // In the order of keys.
  std::vector<ViewItem> Snapshot(ViewKind kind) const;
  std::size_t count(ViewKind kind) const noexcept;
  // Nothing when no fact of the kind is held.
  std::optional<ViewAges> Ages(ViewKind kind) const;

  DigestMessage Digest() const;
  // Buckets in which `other` differs from this store, in full.
  std::vector<SummaryBucket> SummaryOfDifferences(
      const DigestMessage& other) const;
  // Held facts that the sender of `bucket` lacks or has older.
  std::vector<ViewName> ItemsNewerThan(const SummaryBucket& bucket) const;
  // Key hashes of facts that the sender of `bucket` has newer.
  std::vector<std::uint64_t> ItemsOlderThan(const SummaryBucket& bucket) const;
  // Names of held facts by their hashes; unknown ones are passed over.
  std::vector<ViewName> Resolve(
      const std::vector<std::uint64_t>& key_hashes) const;

 private:
  struct Entry {
    ViewItem item;
    std::uint64_t key_hash = 0;
    std::uint64_t body_hash = 0;
  };
  // What was held before it expired; keeps late copies out.
  struct Floor {
    ViewVersion version;
    base::Time until{};
  };
  // One kind's facts by key.
  using Entries = std::map<std::string, Entry>;

  const ViewKindRules& RulesOf(ViewKind kind) const;
  bool Expired(const ViewItem& item, base::Time now) const;
  bool BelowFloor(const ViewItem& item) const;
  bool MakeRoom(const ViewItem& item);
  void Insert(const ViewItem& item);
  void Erase(ViewKind kind, Entries::iterator it);
  void AddToDigest(const Entry& entry);
  void RemoveFromDigest(const Entry& entry);

  const ViewRules rules_;
  const base::Clock clock_;
  std::array<Entries, kViewKinds> entries_;
  std::map<ViewName, Floor> floors_;
  // Greatest version that was pushed out of a full kind.
  std::array<ViewVersion, kViewKinds> pushed_out_{};
  std::array<std::uint64_t, kDigestBuckets> bucket_hashes_{};
  // Facts of each bucket by key hash; they point into entries_.
  std::array<std::map<std::uint64_t, const Entry*>, kDigestBuckets> buckets_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_VIEW_STORE_H_
