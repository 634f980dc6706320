// Stores the accepted configuration in the key-value service.
//
//   /lynxglade/config/head                        newest revision
//   /lynxglade/config/delta/<bucket>/<revision>   one change
//   /lynxglade/config_snapshot/<revision>/<part>  part of a full snapshot
//   /lynxglade/config_compaction/<revision>       snapshot in progress
//   /lynxglade/audit/<bucket>/<revision>          audit record of a change
//
// Snapshots are outside the watched prefix, so that writing one does not send
// it to every watcher. A change is accepted by a single transaction that
// compares and swaps the head and creates the delta and the audit record. All
// methods block.
#ifndef LYNXGLADE_VERSION_CONFIG_STORE_H_
#define LYNXGLADE_VERSION_CONFIG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/units.h"
#include "connection/key_value.h"
#include "version/config_head.h"

namespace lynxglade::version {

// Prefix to watch for configuration changes.
inline constexpr std::string_view kConfigPrefix = "/lynxglade/config/";

enum class StoreError {
  kNone,
  // Nothing was written.
  kUnavailable,
  kRateLimited,
  // The write may have taken effect; read the head to find out.
  kAmbiguous,
  // A stored value is malformed or missing.
  kCorrupt,
  // Another change was committed first; nothing was written.
  kConflict,
  // The delta exceeds kMaxDeltaBytes.
  kTooLarge,
};
std::string_view ToString(StoreError error) noexcept;

// A head and the key-value service's revision of it, for compare-and-swap. Both
// revisions are 0 when no head exists.
struct StoredHead {
  ConfigHead head;
  base::Revision mod_revision{0};
};

struct StoreLimits {
  // Deltas between two snapshots. Half of kPublishedDeltas, so that peers
  // retain all deltas since the newest snapshot.
  std::int64_t snapshot_every = 512;
  // Deltas retained for rollbacks.
  std::int64_t deltas_kept = 8'192;
  std::int64_t audits_kept = 50'000;
  // Bytes per snapshot part; the key-value service limits the size of a value.
  std::size_t part_bytes = 700u << 10;
  // Up to this many deltas or audit records are read with one call each rather
  // than by listing their bucket.
  std::int64_t max_single_reads = 8;
};

// Decoded content of a watch event; at most one member is set.
struct ConfigEvent {
  std::optional<ConfigHead> head;
  std::optional<ChainedDelta> delta;
};

// Thread-safe.
class ConfigStore {
 public:
  // `service` must outlive this object. `random` must be thread-safe.
  ConfigStore(const connection::KeyValue& service,
              base::RandomSource random,
              StoreLimits limits = {});
  ConfigStore(const ConfigStore&) = delete;
  ConfigStore& operator=(const ConfigStore&) = delete;

  std::optional<StoredHead> ReadHead(StoreError* last_error) const;
  // Reads the snapshot that the head refers to, one call per part.
  std::optional<ConfigSnapshot> ReadSnapshot(const ConfigHead& head,
                                             StoreError* last_error) const;
  // Reads the deltas in (from, to], in order. Short ranges take one call per
  // delta, longer ones one call per bucket of `snapshot_every` deltas.
  std::optional<std::vector<ChainedDelta>> ReadDeltas(
      base::Revision from,
      base::Revision to,
      StoreError* last_error) const;
  // Reads the audit records in (from, to], as stored.
  std::optional<std::vector<std::string>> ReadAudits(
      base::Revision from,
      base::Revision to,
      StoreError* last_error) const;
  // Reads one audit record; an empty string when there is none.
  std::optional<std::string> ReadAudit(base::Revision revision,
                                       StoreError* last_error) const;

  // Commits a delta on top of `base` with one call. After kAmbiguous, read the
  // head and the audit record of `revision` to find out whether it took effect.
  bool CommitDelta(const StoredHead& base,
                   base::Revision revision,
                   const ChainedDelta& delta,
                   const std::string& audit,
                   StoreError* last_error) const;

  // Whether a new snapshot is due, and whether it must be written before
  // further changes are accepted.
  bool IsSnapshotDue(const ConfigHead& head) const noexcept;
  bool IsSnapshotRequired(const ConfigHead& head) const noexcept;
  // Writes `snapshot`, points the head at it and deletes the previous
  // snapshot. Idempotent and safe to run concurrently.
  bool WriteSnapshot(const ConfigSnapshot& snapshot,
                     StoreError* last_error) const;

  // Writes `snapshot` back to a key-value service that lost it, as the new head
  // with its own snapshot. Fails with kConflict unless the stored head is
  // older.
  bool Restore(const ConfigSnapshot& snapshot,
               const std::string& audit,
               StoreError* last_error) const;

 private:
  bool WriteSnapshotParts(const ConfigSnapshot& snapshot,
                          int* parts,
                          StoreError* last_error) const;
  bool PointHeadAtSnapshot(const ConfigSnapshot& snapshot,
                           int parts,
                           StoreError* last_error) const;
  // Deletes unreferenced snapshot parts; best effort.
  void DeleteSnapshotParts(base::Revision snapshot, int parts) const;
  std::string DeltaKey(base::Revision revision) const;
  std::string AuditKey(base::Revision revision) const;
  std::optional<std::vector<std::string>> ReadRange(
      std::string_view prefix,
      base::Revision from,
      base::Revision to,
      StoreError* last_error) const;
  // Both append the values in [first, last], which must be in one bucket.
  bool ReadBucket(std::string_view prefix,
                  std::int64_t first,
                  std::int64_t last,
                  std::vector<std::string>* values,
                  StoreError* last_error) const;
  bool ReadIndividually(std::string_view prefix,
                        std::int64_t first,
                        std::int64_t last,
                        std::vector<std::string>* values,
                        StoreError* last_error) const;

  const connection::KeyValue& service_;
  const base::RandomSource random_;
  const StoreLimits limits_;
};

// Decodes a watch event on kConfigPrefix; empty for deletions and other keys.
ConfigEvent DecodeConfigEvent(const connection::KvEvent& event);

StoreError ToStoreError(connection::KvError error) noexcept;

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_STORE_H_
