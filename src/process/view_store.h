// In-memory store of the newest version of each fact; does no I/O.
//
// Two stores are reconciled by comparing digests (one hash for each of
// kDigestBuckets buckets of keys), then summaries of the buckets that differ,
// and by exchanging only the facts that one of them lacks. Load reports are not
// part of the digest, because their source replaces them frequently.
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

// "instance", "target", ...; used in metrics and the administration API.
std::string_view ToString(ViewKind kind) noexcept;

// Retention of the facts of one kind.
struct ViewKindRules {
  // Older facts are dropped; zero means no expiry.
  base::Duration time_to_live{};
  std::size_t max_items = 0;
  // When full, whether to evict the fact with the lowest version. Otherwise new
  // keys are rejected.
  bool evict_lowest_version = false;
};

using ViewRules = std::array<ViewKindRules, kViewKinds>;
// The rules that the daemon uses.
ViewRules DefaultViewRules();

enum class MergeResult {
  // Stored: the key was absent or had an older version.
  kNewer,
  // The same version and body are held already.
  kKnown,
  // A newer version is held, or the version is not newer than one that expired
  // or was evicted.
  kOlder,
  kExpired,
  kFull,
};

struct ViewName {
  ViewKind kind = ViewKind::kInstance;
  std::string key;
  auto operator<=>(const ViewName&) const = default;
};

// Creation times of the newest and the oldest fact of a kind.
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

  // Stores the fact if it is newer. Of two bodies with the same version the
  // greater one wins, so that all stores converge.
  MergeResult Merge(const ViewItem& item);
  // Drops expired facts; returns how many.
  std::size_t Expire();

  // Null when not held. Valid until the next Merge or Expire.
  const ViewItem* Find(const ViewName& name) const;
  // All facts of a kind, ordered by key.
  std::vector<ViewItem> Snapshot(ViewKind kind) const;
  std::size_t count(ViewKind kind) const noexcept;
  // Empty when no fact of the kind is held.
  std::optional<ViewAges> Ages(ViewKind kind) const;

  DigestMessage Digest() const;
  // Full content of the buckets whose hash differs from that in `other`.
  std::vector<SummaryBucket> SummaryOfDifferences(
      const DigestMessage& other) const;
  // Held facts that the sender of `bucket` lacks or holds in an older version.
  std::vector<ViewName> NamesToSend(const SummaryBucket& bucket) const;
  // Key hashes of facts that this store lacks or holds in an older version than
  // the sender of `bucket`.
  std::vector<std::uint64_t> KeyHashesToFetch(
      const SummaryBucket& bucket) const;
  // Names of the held facts with these key hashes; unknown hashes are skipped.
  std::vector<ViewName> NamesOf(
      const std::vector<std::uint64_t>& key_hashes) const;

 private:
  struct Entry {
    ViewItem item;
    std::uint64_t key_hash = 0;
    std::uint64_t body_hash = 0;
  };
  // Version of an expired fact; rejects late copies of it.
  struct ExpiredVersion {
    ViewVersion version;
    base::Time remembered_until{};
  };
  // The facts of one kind by key.
  using Entries = std::map<std::string, Entry>;

  const ViewKindRules& RulesOf(ViewKind kind) const;
  bool Expired(const ViewItem& item, base::Time now) const;
  bool IsSuperseded(const ViewItem& item) const;
  bool EvictIfFull(const ViewItem& item);
  void Insert(const ViewItem& item);
  void Erase(ViewKind kind, Entries::iterator it);
  void AddToDigest(const Entry& entry);
  void RemoveFromDigest(const Entry& entry);

  const ViewRules rules_;
  const base::Clock clock_;
  std::array<Entries, kViewKinds> entries_;
  std::map<ViewName, ExpiredVersion> expired_versions_;
  // Greatest version evicted from each kind.
  std::array<ViewVersion, kViewKinds> max_evicted_{};
  std::array<std::uint64_t, kDigestBuckets> bucket_hashes_{};
  // Facts of each bucket by key hash; the pointers refer to entries_.
  std::array<std::map<std::uint64_t, const Entry*>, kDigestBuckets> buckets_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_VIEW_STORE_H_
