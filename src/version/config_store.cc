#include "version/config_store.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <string>
#include <utility>

namespace lynxglade::version {
namespace {

using connection::KvEntry;
using connection::KvError;
using connection::KvGuard;
using connection::KvRange;
using connection::KvWrite;

constexpr std::string_view kHeadKey = "/lynxglade/config/head";
constexpr std::string_view kDeltaPrefix = "/lynxglade/config/delta/";
constexpr std::string_view kSnapshotPrefix = "/lynxglade/config_snapshot/";
constexpr std::string_view kCompactionPrefix = "/lynxglade/config_compaction/";
constexpr std::string_view kAuditPrefix = "/lynxglade/audit/";
constexpr int kHeadUpdateAttempts = 4;

// Zero-padded, so that keys sort numerically.
std::string Padded(std::int64_t n) {
  std::array<char, 16> buf{};
  std::snprintf(buf.data(), buf.size(), "%012lld", static_cast<long long>(n));
  return buf.data();
}

std::string BucketPrefix(std::string_view prefix, std::int64_t bucket) {
  return std::string(prefix) + Padded(bucket) + "/";
}

std::string SnapshotPrefix(base::Revision revision) {
  return std::string(kSnapshotPrefix) + Padded(revision.value()) + "/";
}

std::string CompactionKey(base::Revision revision) {
  return std::string(kCompactionPrefix) + Padded(revision.value());
}

std::string PartKey(base::Revision snapshot, int part) {
  return SnapshotPrefix(snapshot) + Padded(part);
}

void AppendPartDeletions(base::Revision snapshot,
                         int parts,
                         std::vector<KvWrite>* writes) {
  for (int i = 0; i < parts; ++i) {
    writes->push_back({PartKey(snapshot, i), std::nullopt, {}});
  }
}

template <typename T>
std::optional<T> CorruptResult(StoreError* last_error) {
  *last_error = StoreError::kCorrupt;
  return std::nullopt;
}

}  // namespace

std::string_view ToString(StoreError error) noexcept {
  switch (error) {
    case StoreError::kNone:
      return "none";
    case StoreError::kUnavailable:
      return "unavailable";
    case StoreError::kRateLimited:
      return "rate_limited";
    case StoreError::kAmbiguous:
      return "ambiguous";
    case StoreError::kCorrupt:
      return "corrupt";
    case StoreError::kConflict:
      return "conflict";
    case StoreError::kTooLarge:
      break;
  }
  return "too_large";
}

StoreError ToStoreError(KvError error) noexcept {
  switch (error) {
    case KvError::kNone:
      return StoreError::kNone;
    case KvError::kRateLimited:
      return StoreError::kRateLimited;
    case KvError::kAmbiguous:
      return StoreError::kAmbiguous;
    case KvError::kBadAnswer:
      return StoreError::kCorrupt;
    case KvError::kUnreachable:
      break;
  }
  return StoreError::kUnavailable;
}

ConfigStore::ConfigStore(const connection::KeyValue& service,
                         base::RandomSource random,
                         StoreLimits limits)
    : service_(service), random_(std::move(random)), limits_(limits) {}

std::string ConfigStore::DeltaKey(base::Revision revision) const {
  return BucketPrefix(kDeltaPrefix, revision.value() / limits_.snapshot_every) +
         Padded(revision.value());
}

std::string ConfigStore::AuditKey(base::Revision revision) const {
  return BucketPrefix(kAuditPrefix, revision.value() / limits_.snapshot_every) +
         Padded(revision.value());
}

std::optional<StoredHead> ConfigStore::ReadHead(StoreError* last_error) const {
  KvError ec = KvError::kNone;
  const std::optional<KvRange> range = service_.Get(std::string(kHeadKey), &ec);
  *last_error = ToStoreError(ec);
  if (!range) {
    return std::nullopt;
  }
  if (range->entries.empty()) {
    return StoredHead{};
  }
  const KvEntry& entry = range->entries.front();
  std::optional<ConfigHead> head = DecodeHead(entry.value);
  if (!head) {
    return CorruptResult<StoredHead>(last_error);
  }
  return StoredHead{std::move(*head), entry.mod_revision};
}

std::optional<ConfigSnapshot> ConfigStore::ReadSnapshot(
    const ConfigHead& head,
    StoreError* last_error) const {
  *last_error = StoreError::kNone;
  if (head.snapshot.value() == 0) {
    return ConfigSnapshot{};
  }
  std::string bytes;
  for (int i = 0; i < head.snapshot_parts; ++i) {
    KvError ec = KvError::kNone;
    const std::optional<KvRange> range =
        service_.Get(PartKey(head.snapshot, i), &ec);
    if (!range) {
      *last_error = ToStoreError(ec);
      return std::nullopt;
    }
    if (range->entries.empty()) {
      // Deleted since the head was read; a newer snapshot exists.
      return CorruptResult<ConfigSnapshot>(last_error);
    }
    bytes += range->entries.front().value;
  }
  CodecFault fault;
  std::optional<ConfigSnapshot> snapshot = DecodeSnapshot(bytes, &fault);
  if (!snapshot || snapshot->revision() != head.snapshot) {
    return CorruptResult<ConfigSnapshot>(last_error);
  }
  return snapshot;
}

std::optional<std::vector<std::string>> ConfigStore::ReadRange(
    std::string_view prefix,
    base::Revision from,
    base::Revision to,
    StoreError* last_error) const {
  std::vector<std::string> values;
  *last_error = StoreError::kNone;
  std::int64_t next = from.value() + 1;
  while (next <= to.value()) {
    const std::int64_t bucket = next / limits_.snapshot_every;
    const std::int64_t last =
        std::min(to.value(), (bucket + 1) * limits_.snapshot_every - 1);
    // Listing returns the entire bucket. Values are read individually when only
    // a few are needed, or when the listing fails, such as for a bucket that
    // exceeds the response limit.
    const bool is_short = last - next < limits_.max_single_reads;
    const bool read =
        (!is_short && ReadBucket(prefix, next, last, &values, last_error)) ||
        ReadIndividually(prefix, next, last, &values, last_error);
    if (!read) {
      return std::nullopt;
    }
    next = last + 1;
  }
  return values;
}

bool ConfigStore::ReadBucket(std::string_view prefix,
                             std::int64_t first,
                             std::int64_t last,
                             std::vector<std::string>* values,
                             StoreError* last_error) const {
  const std::string bucket =
      BucketPrefix(prefix, first / limits_.snapshot_every);
  const std::string low = bucket + Padded(first);
  const std::string high = bucket + Padded(last);
  KvError ec = KvError::kNone;
  std::optional<KvRange> range = service_.List(bucket, 0, &ec);
  *last_error = ToStoreError(ec);
  if (!range) {
    return false;
  }
  std::ranges::sort(range->entries, {}, &KvEntry::key);
  for (KvEntry& it : range->entries) {
    if (it.key >= low && it.key <= high) {
      values->push_back(std::move(it.value));
    }
  }
  return true;
}

bool ConfigStore::ReadIndividually(std::string_view prefix,
                                   std::int64_t first,
                                   std::int64_t last,
                                   std::vector<std::string>* values,
                                   StoreError* last_error) const {
  const std::string bucket =
      BucketPrefix(prefix, first / limits_.snapshot_every);
  for (std::int64_t n = first; n <= last; ++n) {
    KvError ec = KvError::kNone;
    std::optional<KvRange> range = service_.Get(bucket + Padded(n), &ec);
    *last_error = ToStoreError(ec);
    if (!range) {
      return false;
    }
    if (!range->entries.empty()) {
      values->push_back(std::move(range->entries.front().value));
    }
  }
  return true;
}

std::optional<std::vector<ChainedDelta>> ConfigStore::ReadDeltas(
    base::Revision from,
    base::Revision to,
    StoreError* last_error) const {
  std::vector<ChainedDelta> deltas;
  *last_error = StoreError::kNone;
  if (to <= from) {
    return deltas;
  }
  const auto values = ReadRange(kDeltaPrefix, from, to, last_error);
  if (!values) {
    return std::nullopt;
  }
  for (const std::string& it : *values) {
    std::optional<ChainedDelta> delta = DecodeChainedDelta(it);
    if (!delta) {
      return CorruptResult<std::vector<ChainedDelta>>(last_error);
    }
    deltas.push_back(std::move(*delta));
  }
  if (static_cast<std::int64_t>(deltas.size()) != (to - from).value()) {
    return CorruptResult<std::vector<ChainedDelta>>(last_error);
  }
  return deltas;
}

std::optional<std::vector<std::string>> ConfigStore::ReadAudits(
    base::Revision from,
    base::Revision to,
    StoreError* last_error) const {
  *last_error = StoreError::kNone;
  if (to <= from) {
    return std::vector<std::string>();
  }
  return ReadRange(kAuditPrefix, from, to, last_error);
}

std::optional<std::string> ConfigStore::ReadAudit(
    base::Revision revision,
    StoreError* last_error) const {
  KvError ec = KvError::kNone;
  std::optional<KvRange> range = service_.Get(AuditKey(revision), &ec);
  *last_error = ToStoreError(ec);
  if (!range) {
    return std::nullopt;
  }
  return range->entries.empty() ? std::string()
                                : std::move(range->entries.front().value);
}

bool ConfigStore::CommitDelta(const StoredHead& base,
                              base::Revision revision,
                              const ChainedDelta& delta,
                              const std::string& audit,
                              StoreError* last_error) const {
  const std::string stored = EncodeChainedDelta(delta);
  if (stored.size() > kMaxDeltaBytes) {
    *last_error = StoreError::kTooLarge;
    return false;
  }
  if (revision != base.head.revision + base::Revision(1) ||
      delta.previous_digest != base.head.digest) {
    *last_error = StoreError::kConflict;
    return false;
  }
  ConfigHead head = base.head;
  head.revision = revision;
  head.digest = delta.digest;
  head.write_id = base::RandomHexId(random_);
  std::vector<KvWrite> writes = {{std::string(kHeadKey), EncodeHead(head), {}},
                                 {DeltaKey(revision), stored, {}},
                                 {AuditKey(revision), audit, {}}};
  // Deletes the delta and audit record that leave the retained history.
  const auto expired = [&](std::int64_t kept) {
    return base::Revision(revision.value() - kept);
  };
  if (const base::Revision old = expired(limits_.deltas_kept);
      old.value() > 0 && old <= head.snapshot) {
    writes.push_back({DeltaKey(old), std::nullopt, {}});
  }
  if (const base::Revision old = expired(limits_.audits_kept);
      old.value() > 0) {
    writes.push_back({AuditKey(old), std::nullopt, {}});
  }
  KvError ec = KvError::kNone;
  const auto result =
      service_.Commit({{std::string(kHeadKey), base.mod_revision},
                       {DeltaKey(revision), base::Revision(0)}},
                      writes, &ec);
  *last_error = ToStoreError(ec);
  if (result && !result->committed) {
    *last_error = StoreError::kConflict;
  }
  return result && result->committed;
}

bool ConfigStore::IsSnapshotDue(const ConfigHead& head) const noexcept {
  return (head.revision - head.snapshot).value() >= limits_.snapshot_every;
}

bool ConfigStore::IsSnapshotRequired(const ConfigHead& head) const noexcept {
  // Deltas must not expire, here or in the peers' views, before a snapshot
  // covers them.
  return (head.revision - head.snapshot).value() >=
         std::min(2 * limits_.snapshot_every, limits_.deltas_kept);
}

bool ConfigStore::WriteSnapshotParts(const ConfigSnapshot& snapshot,
                                     int* parts,
                                     StoreError* last_error) const {
  const std::string bytes = EncodeSnapshot(snapshot);
  const std::size_t n =
      (bytes.size() + limits_.part_bytes - 1) / limits_.part_bytes;
  *parts = static_cast<int>(n);
  // Recorded before the parts, so that the parts of a crashed writer can be
  // found and deleted. Concurrent writers of a revision write equal bytes.
  KvError ec = KvError::kNone;
  if (!service_.Commit(
          {}, {{CompactionKey(snapshot.revision()), std::to_string(n), {}}},
          &ec)) {
    *last_error = ToStoreError(ec);
    return false;
  }
  for (std::size_t i = 0; i < n; ++i) {
    const std::string part =
        bytes.substr(i * limits_.part_bytes, limits_.part_bytes);
    if (!service_.Commit(
            {}, {{PartKey(snapshot.revision(), static_cast<int>(i)), part, {}}},
            &ec)) {
      *last_error = ToStoreError(ec);
      return false;
    }
  }
  return true;
}

void ConfigStore::DeleteSnapshotParts(base::Revision snapshot,
                                      int parts) const {
  std::vector<KvWrite> writes = {{CompactionKey(snapshot), std::nullopt, {}}};
  AppendPartDeletions(snapshot, parts, &writes);
  KvError ec = KvError::kNone;
  service_.Commit({}, writes, &ec);
}

bool ConfigStore::PointHeadAtSnapshot(const ConfigSnapshot& snapshot,
                                      int parts,
                                      StoreError* last_error) const {
  KvError ec = KvError::kNone;
  const auto pending_snapshots =
      service_.List(std::string(kCompactionPrefix), 0, &ec);
  if (!pending_snapshots) {
    *last_error = ToStoreError(ec);
    return false;
  }
  for (int attempt = 0; attempt < kHeadUpdateAttempts; ++attempt) {
    const std::optional<StoredHead> stored = ReadHead(last_error);
    if (!stored) {
      return false;
    }
    if (stored->head.snapshot >= snapshot.revision()) {
      if (stored->head.snapshot > snapshot.revision()) {
        DeleteSnapshotParts(snapshot.revision(), parts);
      }
      return true;
    }
    if (stored->head.revision < snapshot.revision()) {
      *last_error = StoreError::kConflict;
      return false;
    }
    ConfigHead head = stored->head;
    head.snapshot = snapshot.revision();
    head.snapshot_parts = parts;
    head.write_id = base::RandomHexId(random_);
    std::vector<KvWrite> writes = {
        {std::string(kHeadKey), EncodeHead(head), {}}};
    AppendPartDeletions(stored->head.snapshot, stored->head.snapshot_parts,
                        &writes);
    for (const KvEntry& it : pending_snapshots->entries) {
      const std::int64_t revision =
          std::atoll(it.key.c_str() + kCompactionPrefix.size());
      if (revision < snapshot.revision().value()) {
        AppendPartDeletions(base::Revision(revision),
                            std::atoi(it.value.c_str()), &writes);
      }
      if (revision <= snapshot.revision().value()) {
        writes.push_back({it.key, std::nullopt, {}});
      }
    }
    const auto result = service_.Commit(
        {{std::string(kHeadKey), stored->mod_revision}}, writes, &ec);
    if (result && result->committed) {
      return true;
    }
    // Conflict or lost response: read the head again to find out.
    *last_error = result ? StoreError::kConflict : ToStoreError(ec);
  }
  return false;
}

bool ConfigStore::WriteSnapshot(const ConfigSnapshot& snapshot,
                                StoreError* last_error) const {
  *last_error = StoreError::kNone;
  int parts = 0;
  return WriteSnapshotParts(snapshot, &parts, last_error) &&
         PointHeadAtSnapshot(snapshot, parts, last_error);
}

bool ConfigStore::Restore(const ConfigSnapshot& snapshot,
                          const std::string& audit,
                          StoreError* last_error) const {
  const std::optional<StoredHead> stored = ReadHead(last_error);
  if (!stored) {
    return false;
  }
  if (stored->head.revision >= snapshot.revision()) {
    *last_error = StoreError::kConflict;
    return false;
  }
  int parts = 0;
  if (!WriteSnapshotParts(snapshot, &parts, last_error)) {
    return false;
  }
  const ConfigHead head{snapshot.revision(), snapshot.digest,
                        snapshot.revision(), parts, base::RandomHexId(random_)};
  std::vector<KvWrite> writes = {
      {std::string(kHeadKey), EncodeHead(head), {}},
      {AuditKey(snapshot.revision()), audit, {}},
      {CompactionKey(snapshot.revision()), std::nullopt, {}}};
  AppendPartDeletions(stored->head.snapshot, stored->head.snapshot_parts,
                      &writes);
  KvError ec = KvError::kNone;
  const auto result = service_.Commit(
      {{std::string(kHeadKey), stored->mod_revision}}, writes, &ec);
  *last_error = ToStoreError(ec);
  if (result && !result->committed) {
    *last_error = StoreError::kConflict;
  }
  return result && result->committed;
}

ConfigEvent DecodeConfigEvent(const connection::KvEvent& event) {
  ConfigEvent read;
  const std::string& key = event.entry.key;
  if (event.deleted) {
    return read;
  }
  if (key == kHeadKey) {
    read.head = DecodeHead(event.entry.value);
  } else if (key.starts_with(kDeltaPrefix)) {
    read.delta = DecodeChainedDelta(event.entry.value);
  }
  return read;
}

}  // namespace lynxglade::version
