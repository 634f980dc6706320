// The accepted configuration in the key-value service.
//
//   /lynxglade/config/head                        the newest revision
//   /lynxglade/config/delta/<bucket>/<revision>   one change each
//   /lynxglade/config_snapshot/<revision>/<part>  the whole, in parts
//   /lynxglade/config_compaction/<revision>       a snapshot being written
//   /lynxglade/audit/<bucket>/<revision>          who confirmed what
//
// Snapshots lie outside the prefix that instances watch, so that writing one
// does not send megabytes to every watcher. A change is accepted by one
// transaction that compares and swaps the head and creates its delta and its
// audit record. All methods block.
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

// Everything that a watch on the configuration has to see.
inline constexpr std::string_view kConfigPrefix = "/lynxglade/config/";

enum class StoreError {
  kNone,
  // Nothing was changed.
  kUnavailable,
  kRateLimited,
  // A write may have taken effect; read the head to find out.
  kAmbiguous,
  // A value in the service does not read as it should, or is missing.
  kCorrupt,
  // Somebody else's change came first; nothing was changed.
  kConflict,
  // The change does not fit one value.
  kTooLarge,
};
std::string_view ToString(StoreError error) noexcept;

// A head as stored, and the revision of the service to compare against; a
// head that does not exist has revision 0 in both.
struct StoredHead {
  ConfigHead head;
  base::Revision mod_revision{0};
};

struct StoreLimits {
  // Deltas between two snapshots; half of kPublishedDeltas, so that peers hold
  // all deltas since the newest one.
  std::int64_t snapshot_every = 512;
  // Deltas kept for rollbacks: about a day of the largest fleet.
  std::int64_t deltas_kept = 8'192;
  std::int64_t audits_kept = 50'000;
  // Bytes of a snapshot part; a value may have a megabyte.
  std::size_t part_bytes = 700u << 10;
  // Up to as many deltas or audit records are read one by one.
  std::int64_t few_values = 8;
};

// What a watch event or a listing showed.
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

  // One call.
  std::optional<StoredHead> ReadHead(StoreError* last_error) const;
  // The snapshot of the head: one call a part.
  std::optional<HeldConfiguration> ReadSnapshot(const ConfigHead& head,
                                                StoreError* last_error) const;
  // The deltas after `from` up to `to`, in order: one call each for a few, one
  // call a bucket of `snapshot_every` for more.
  std::optional<std::vector<ChainedDelta>> ReadDeltas(
      base::Revision from,
      base::Revision to,
      StoreError* last_error) const;
  // Audit records after `from` up to `to`, as stored.
  std::optional<std::vector<std::string>> ReadAudits(
      base::Revision from,
      base::Revision to,
      StoreError* last_error) const;
  // One audit record; an empty string when there is none.
  std::optional<std::string> ReadAudit(base::Revision revision,
                                       StoreError* last_error) const;

  // Accepts a delta on top of `base`: one call. After kAmbiguous, read the
  // head and the audit record of the delta's revision.
  bool Accept(const StoredHead& base,
              base::Revision revision,
              const ChainedDelta& delta,
              const std::string& audit,
              StoreError* last_error) const;

  // Whether the head has gone so far beyond its snapshot that a new one is
  // due; and so far that no change may be accepted before it is written.
  bool WantsSnapshot(const ConfigHead& head) const noexcept;
  bool NeedsSnapshot(const ConfigHead& head) const noexcept;
  // Writes a snapshot of `held`, points the head at it and deletes the one
  // before. Safe to repeat, and to race.
  bool WriteSnapshot(const HeldConfiguration& held,
                     StoreError* last_error) const;

  // Puts a configuration that this instance holds back into a service that
  // lost it: the head becomes `held` with a fresh snapshot. Refused with
  // kConflict when the stored head is not older.
  bool Restore(const HeldConfiguration& held,
               const std::string& audit,
               StoreError* last_error) const;

 private:
  bool WriteParts(const HeldConfiguration& held,
                  int* parts,
                  StoreError* last_error) const;
  bool PointHeadAt(const HeldConfiguration& held,
                   int parts,
                   StoreError* last_error) const;
  // Deletes parts that nobody will point at; failure leaves them behind.
  void DropParts(base::Revision snapshot, int parts) const;
  std::string DeltaKey(base::Revision revision) const;
  std::string AuditKey(base::Revision revision) const;
  std::optional<std::vector<std::string>> ReadNumbered(
      std::string_view prefix,
      base::Revision from,
      base::Revision to,
      StoreError* last_error) const;
  // Both append the values from `first` to `last`, which lie in one bucket.
  bool ReadBucket(std::string_view prefix,
                  std::int64_t first,
                  std::int64_t last,
                  std::vector<std::string>* values,
                  StoreError* last_error) const;
  bool ReadOneByOne(std::string_view prefix,
                    std::int64_t first,
                    std::int64_t last,
                    std::vector<std::string>* values,
                    StoreError* last_error) const;

  const connection::KeyValue& service_;
  const base::RandomSource random_;
  const StoreLimits limits_;
};

// Reads what an event of a watch on kConfigPrefix tells; empty for keys that
// do not matter to a reader.
ConfigEvent ReadConfigEvent(const connection::KvEvent& event);

// Turns an error of the client into one of this layer.
StoreError StoreErrorOf(connection::KvError error) noexcept;

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_STORE_H_
