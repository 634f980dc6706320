#include "process/view_store.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "base/hash.h"

namespace lynxglade::process {

namespace {

std::size_t IndexOf(ViewKind kind) noexcept {
  return static_cast<std::size_t>(kind);
}

std::uint64_t KeyHash(const ViewItem& item) noexcept {
  return base::Hash64(item.key, IndexOf(item.kind));
}

std::size_t BucketOf(std::uint64_t key_hash) noexcept {
  return key_hash % kDigestBuckets;
}

bool IsInDigest(ViewKind kind) noexcept {
  return kind != ViewKind::kLoad;
}

// A fact's contribution to the hash of its bucket.
std::uint64_t EntryHash(std::uint64_t key_hash,
                        const ViewVersion& version,
                        std::uint64_t body_hash) noexcept {
  const std::array<std::uint64_t, 4> parts{key_hash, version.epoch,
                                           version.sequence, body_hash};
  return base::Hash64({reinterpret_cast<const char*>(parts.data()),
                       parts.size() * sizeof(parts[0])});
}

const SummaryEntry* FindEntry(const SummaryBucket& bucket,
                              std::uint64_t key_hash) {
  const auto it =
      std::ranges::find(bucket.entries, key_hash, &SummaryEntry::key_hash);
  return it == bucket.entries.end() ? nullptr : &*it;
}

}  // namespace

std::string_view ToString(ViewKind kind) noexcept {
  switch (kind) {
    case ViewKind::kInstance:
      return "instance";
    case ViewKind::kTarget:
      return "target";
    case ViewKind::kQuarantine:
      return "quarantine";
    case ViewKind::kLoad:
      return "load";
    case ViewKind::kConfigHead:
      return "config_head";
    case ViewKind::kConfigDelta:
      return "config_delta";
    case ViewKind::kConfigInForce:
      return "config_in_force";
    case ViewKind::kListed:
      break;
  }
  return "listed";
}

ViewRules DefaultViewRules() {
  using std::chrono::hours;
  using std::chrono::minutes;
  using std::chrono::seconds;
  ViewRules rules{};
  rules[IndexOf(ViewKind::kInstance)] = {minutes(15), 4096, false};
  rules[IndexOf(ViewKind::kTarget)] = {{}, 32768, false};
  rules[IndexOf(ViewKind::kQuarantine)] = {hours(24), 8192, true};
  rules[IndexOf(ViewKind::kLoad)] = {seconds(60), 32768, false};
  // Room for the head and all parts of the largest snapshot.
  rules[IndexOf(ViewKind::kConfigHead)] = {{}, 2048, false};
  rules[IndexOf(ViewKind::kConfigDelta)] = {{}, 1024, true};
  rules[IndexOf(ViewKind::kConfigInForce)] = {minutes(15), 4096, true};
  // An evicted row that is still listed is published again with a newer
  // version; a tombstone is not.
  rules[IndexOf(ViewKind::kListed)] = {{}, 32768, true};
  return rules;
}

ViewStore::ViewStore(ViewRules rules, base::Clock clock)
    : rules_(rules), clock_(std::move(clock)) {}

MergeResult ViewStore::Merge(const ViewItem& item) {
  if (Expired(item, clock_())) {
    return MergeResult::kExpired;
  }
  Entries& entries = entries_[IndexOf(item.kind)];
  const auto it = entries.find(item.key);
  if (it == entries.end()) {
    if (IsSuperseded(item)) {
      return MergeResult::kOlder;
    }
    if (!EvictIfFull(item)) {
      return MergeResult::kFull;
    }
    Insert(item);
    return MergeResult::kNewer;
  }
  const ViewItem& held = it->second.item;
  if (item.version == held.version && item.body == held.body) {
    return MergeResult::kKnown;
  }
  if (item.version < held.version ||
      (item.version == held.version && item.body < held.body)) {
    return MergeResult::kOlder;
  }
  Erase(item.kind, it);
  Insert(item);
  return MergeResult::kNewer;
}

std::size_t ViewStore::Expire() {
  const base::Time now = clock_();
  std::size_t dropped = 0;
  for (Entries& entries : entries_) {
    for (auto it = entries.begin(); it != entries.end();) {
      const auto next = std::next(it);
      const ViewItem& item = it->second.item;
      if (Expired(item, now)) {
        expired_versions_[{item.kind, item.key}] = {
            item.version, now + RulesOf(item.kind).time_to_live};
        Erase(item.kind, it);
        ++dropped;
      }
      it = next;
    }
  }
  std::erase_if(expired_versions_, [&](const auto& expired) {
    return expired.second.remembered_until < now;
  });
  return dropped;
}

const ViewItem* ViewStore::Find(const ViewName& name) const {
  const Entries& entries = entries_[IndexOf(name.kind)];
  const auto it = entries.find(name.key);
  return it == entries.end() ? nullptr : &it->second.item;
}

std::vector<ViewItem> ViewStore::Snapshot(ViewKind kind) const {
  const Entries& entries = entries_[IndexOf(kind)];
  std::vector<ViewItem> items;
  items.reserve(entries.size());
  std::ranges::transform(entries, std::back_inserter(items),
                         [](const auto& entry) { return entry.second.item; });
  return items;
}

std::size_t ViewStore::count(ViewKind kind) const noexcept {
  return entries_[IndexOf(kind)].size();
}

std::optional<ViewAges> ViewStore::Ages(ViewKind kind) const {
  const Entries& entries = entries_[IndexOf(kind)];
  if (entries.empty()) {
    return std::nullopt;
  }
  const auto [oldest, newest] = std::ranges::minmax_element(
      entries, {}, [](const auto& entry) { return entry.second.item.as_of; });
  return ViewAges{newest->second.item.as_of, oldest->second.item.as_of};
}

DigestMessage ViewStore::Digest() const {
  return {{bucket_hashes_.begin(), bucket_hashes_.end()}};
}

std::vector<SummaryBucket> ViewStore::SummaryOfDifferences(
    const DigestMessage& other) const {
  std::vector<SummaryBucket> out;
  if (other.buckets.size() != kDigestBuckets) {
    return out;
  }
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    if (other.buckets[i] == bucket_hashes_[i]) {
      continue;
    }
    SummaryBucket bucket{i, {}};
    std::ranges::transform(
        buckets_[i], std::back_inserter(bucket.entries), [](const auto& held) {
          const Entry& entry = *held.second;
          return SummaryEntry{entry.key_hash, entry.item.version,
                              entry.body_hash};
        });
    out.push_back(std::move(bucket));
  }
  return out;
}

std::vector<ViewName> ViewStore::NamesToSend(
    const SummaryBucket& bucket) const {
  std::vector<ViewName> names;
  if (bucket.bucket >= kDigestBuckets) {
    return names;
  }
  for (const auto& [key_hash, entry] : buckets_[bucket.bucket]) {
    const SummaryEntry* remote = FindEntry(bucket, key_hash);
    const ViewItem& item = entry->item;
    const bool missing_or_older =
        remote == nullptr || remote->version < item.version;
    // Same version with another body: the receiver's merge decides which one
    // wins.
    const bool differs = !missing_or_older && remote->version == item.version &&
                         remote->body_hash != entry->body_hash;
    if (missing_or_older || differs) {
      names.push_back({item.kind, item.key});
    }
  }
  return names;
}

std::vector<std::uint64_t> ViewStore::KeyHashesToFetch(
    const SummaryBucket& bucket) const {
  std::vector<std::uint64_t> hashes;
  if (bucket.bucket >= kDigestBuckets) {
    return hashes;
  }
  const auto& held = buckets_[bucket.bucket];
  for (const SummaryEntry& remote : bucket.entries) {
    const auto it = held.find(remote.key_hash);
    const bool newer = it == held.end() ||
                       it->second->item.version < remote.version ||
                       (it->second->item.version == remote.version &&
                        it->second->body_hash != remote.body_hash);
    if (newer) {
      hashes.push_back(remote.key_hash);
    }
  }
  return hashes;
}

std::vector<ViewName> ViewStore::NamesOf(
    const std::vector<std::uint64_t>& key_hashes) const {
  std::vector<ViewName> names;
  for (const std::uint64_t key_hash : key_hashes) {
    const auto& bucket = buckets_[BucketOf(key_hash)];
    const auto it = bucket.find(key_hash);
    if (it != bucket.end()) {
      names.push_back({it->second->item.kind, it->second->item.key});
    }
  }
  return names;
}

const ViewKindRules& ViewStore::RulesOf(ViewKind kind) const {
  return rules_[IndexOf(kind)];
}

bool ViewStore::Expired(const ViewItem& item, base::Time now) const {
  const base::Duration ttl = RulesOf(item.kind).time_to_live;
  return ttl > base::Duration::zero() && now - item.as_of >= ttl;
}

bool ViewStore::IsSuperseded(const ViewItem& item) const {
  const ViewVersion& max_evicted = max_evicted_[IndexOf(item.kind)];
  if (max_evicted != ViewVersion{} && item.version <= max_evicted) {
    return true;
  }
  const auto it = expired_versions_.find({item.kind, item.key});
  return it != expired_versions_.end() && item.version <= it->second.version;
}

bool ViewStore::EvictIfFull(const ViewItem& item) {
  Entries& entries = entries_[IndexOf(item.kind)];
  const ViewKindRules& rules = RulesOf(item.kind);
  if (entries.size() < rules.max_items) {
    return true;
  }
  if (!rules.evict_lowest_version || entries.empty()) {
    return false;
  }
  const auto lowest = std::ranges::min_element(
      entries, {}, [](const auto& entry) { return entry.second.item.version; });
  const ViewVersion version = lowest->second.item.version;
  if (item.version <= version) {
    return false;
  }
  ViewVersion& max_evicted = max_evicted_[IndexOf(item.kind)];
  max_evicted = std::max(max_evicted, version);
  Erase(item.kind, lowest);
  return true;
}

void ViewStore::Insert(const ViewItem& item) {
  Entry entry{item, KeyHash(item), base::Hash64(item.body)};
  const auto [it, inserted] =
      entries_[IndexOf(item.kind)].emplace(item.key, std::move(entry));
  AddToDigest(it->second);
}

void ViewStore::Erase(ViewKind kind, Entries::iterator it) {
  RemoveFromDigest(it->second);
  entries_[IndexOf(kind)].erase(it);
}

void ViewStore::AddToDigest(const Entry& entry) {
  if (!IsInDigest(entry.item.kind)) {
    return;
  }
  const std::size_t bucket = BucketOf(entry.key_hash);
  buckets_[bucket][entry.key_hash] = &entry;
  bucket_hashes_[bucket] ^=
      EntryHash(entry.key_hash, entry.item.version, entry.body_hash);
}

void ViewStore::RemoveFromDigest(const Entry& entry) {
  if (!IsInDigest(entry.item.kind)) {
    return;
  }
  const std::size_t bucket = BucketOf(entry.key_hash);
  buckets_[bucket].erase(entry.key_hash);
  bucket_hashes_[bucket] ^=
      EntryHash(entry.key_hash, entry.item.version, entry.body_hash);
}

}  // namespace lynxglade::process
