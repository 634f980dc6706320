// Tracks the current configuration of this instance; its revision never
// decreases.
//
// Heads, deltas and snapshots arrive from the key-value service and from peers,
// possibly out of order, late or repeated. The tracker applies those that
// follow the current configuration, buffers deltas that arrive early, and
// rejects the rest. It does no I/O.
#ifndef LYNXGLADE_VERSION_CONFIG_TRACKER_H_
#define LYNXGLADE_VERSION_CONFIG_TRACKER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "version/config_head.h"
#include "version/configuration.h"

namespace lynxglade::version {

// Result of offering a head, delta or snapshot.
enum class OfferResult {
  // Applied; it is in force now.
  kApplied,
  // Already in force.
  kKnown,
  // Older than the configuration in force; rejected.
  kOlder,
  // Newer than the configuration in force, with deltas in between missing.
  kAhead,
  // Belongs to a different history; rejected. This happens when a change was
  // committed to a key-value service that had lost accepted revisions.
  kForked,
  // Could not be decoded.
  kMalformed,
};
std::string_view ToString(OfferResult result) noexcept;

// Origin of an offer, for logs and metrics.
enum class ConfigSource { kService, kPeer, kLocal };
std::string_view ToString(ConfigSource source) noexcept;

struct ConfigTrackerHooks {
  base::Clock clock;
  // Called when a configuration came into force, without holding the lock. In
  // order of revision only when all offers come from one thread. May be empty.
  std::function<void(const ConfigSnapshot&)> on_applied;
  // Called for each applied delta, to publish it to peers; may be empty.
  std::function<void(base::Revision, const ChainedDelta&)> on_delta;
  // Called when a snapshot was applied, before on_delta for deltas that follow
  // it; may be empty.
  std::function<void(const ConfigSnapshot&)> on_snapshot;
};

// Thread-safe.
class ConfigTracker {
 public:
  // `metrics` must outlive this object. Counters:
  // lynxglade_config_offers_total{what,source,result}.
  ConfigTracker(ConfigTrackerHooks hooks, base::Metrics& metrics);
  ConfigTracker(const ConfigTracker&) = delete;
  ConfigTracker& operator=(const ConfigTracker&) = delete;

  // Records that a head was accepted; does not change the configuration.
  // `held_before_read` is the revision in force before the head was read. Only
  // a head below it is reported as older; without it the head may just be
  // stale.
  OfferResult OfferHead(
      const ConfigHead& head,
      ConfigSource source,
      std::optional<base::Revision> held_before_read = std::nullopt);
  // Applies a delta and the buffered deltas that follow it.
  OfferResult OfferDelta(const ChainedDelta& delta, ConfigSource source);
  // Applies a snapshot when it is newer than the configuration in force.
  OfferResult OfferSnapshot(const ConfigSnapshot& snapshot,
                            ConfigSource source);
  // As OfferSnapshot(), from a peer's EncodeSnapshot() bytes.
  OfferResult OfferEncodedSnapshot(std::string_view bytes, ConfigSource source);

  // The configuration in force; never null. Does not lock the mutex.
  std::shared_ptr<const Configuration> Get() const;
  ConfigSnapshot GetSnapshot() const;
  // True once the newest known revision was applied or MarkStoreEmpty()
  // confirmed that none exists. Stays true.
  bool ready() const;
  // Call when the key-value service has no head. Counts as lost data when a
  // revision is already known.
  void MarkStoreEmpty();

  // The newest revision known from any source.
  base::Revision newest_known() const;
  // Whether a newer revision than the one in force is known.
  bool behind() const;
  // How long behind() has been true; zero when it is false.
  base::Duration TimeBehind() const;
  // Whether the service's last head was older than the one in force.
  bool service_is_behind() const;
  // Whether the service's last head or delta was of a different history.
  bool forked() const;

 private:
  struct State {
    ConfigSnapshot current;
    bool ready = false;
    base::Revision newest_known{0};
    base::Time behind_since{};
    bool service_is_behind = false;
    bool forked = false;
    // Deltas that arrived before their predecessors, by revision.
    std::map<base::Revision, ChainedDelta> buffered;
  };
  struct AppliedDelta {
    base::Revision revision;
    ChainedDelta delta;
  };

  // All require the lock.
  OfferResult HandleDelta(const ChainedDelta& delta,
                          const ConfigDelta& parsed,
                          ConfigSource source,
                          std::vector<AppliedDelta>* applied);
  OfferResult ApplyNext(const ChainedDelta& delta, const ConfigDelta& parsed);
  void ApplyBuffered(std::vector<AppliedDelta>* applied);
  void NoteRevision(base::Revision revision);
  void FinishUpdate();

  void NotifyApplied(const std::vector<AppliedDelta>& applied);
  OfferResult RecordResult(std::string_view what,
                           base::Revision revision,
                           ConfigSource source,
                           OfferResult result);

  const ConfigTrackerHooks hooks_;
  base::Metrics& metrics_;
  mutable std::mutex mutex_;
  State state_;
  // Copy of the configuration in force, for Get() without the mutex.
  std::atomic<std::shared_ptr<const Configuration>> current_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_TRACKER_H_
