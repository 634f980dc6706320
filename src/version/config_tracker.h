// The configuration that this instance holds, and the rule that it only moves
// forward.
//
// Heads, deltas and whole configurations come in from the key-value service
// and from peers, in any order, late and twice. The tracker takes what follows
// what it holds, keeps deltas that come early, and refuses the rest. It does
// no I/O.
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

// What became of something offered.
enum class OfferResult {
  // In force now.
  kTaken,
  // Already in force.
  kKnown,
  // From an earlier revision than the one in force; refused.
  kOlder,
  // Ahead of the one in force; deltas in between are missing.
  kAhead,
  // Another history under the same revision; refused. Somebody wrote to a
  // service that had lost accepted configurations.
  kForked,
  // Could not be read.
  kMalformed,
};
std::string_view ToString(OfferResult result) noexcept;

// Where an offer comes from, for logs and counters.
enum class ConfigSource { kService, kPeer, kOwn };
std::string_view ToString(ConfigSource source) noexcept;

struct ConfigTrackerHooks {
  base::Clock clock;
  // A configuration came into force. Called without a lock, in order of
  // revision when offers come from one thread; may be empty.
  std::function<void(const HeldConfiguration&)> on_taken;
  // A delta came into force, to be passed on to peers; may be empty.
  std::function<void(base::Revision, const ChainedDelta&)> on_delta;
  // A whole configuration was taken, before deltas that follow it; may be
  // empty.
  std::function<void(const HeldConfiguration&)> on_whole;
};

// Thread-safe.
class ConfigTracker {
 public:
  // `metrics` must outlive this object. Counters:
  // lynxglade_config_offers_total{source,result}.
  ConfigTracker(ConfigTrackerHooks hooks, base::Metrics& metrics);
  ConfigTracker(const ConfigTracker&) = delete;
  ConfigTracker& operator=(const ConfigTracker&) = delete;

  // Learns that a head was accepted; takes nothing into force by itself.
  // `held_when_asked` is the revision that was in force before the head was
  // read: only a head below that is older for sure, others may be late.
  OfferResult OfferHead(
      const ConfigHead& head,
      ConfigSource source,
      std::optional<base::Revision> held_when_asked = std::nullopt);
  // Takes a delta, and those kept that follow it.
  OfferResult OfferDelta(const ChainedDelta& delta, ConfigSource source);
  // Takes a whole configuration when it is newer than the one in force.
  OfferResult OfferWhole(const HeldConfiguration& whole, ConfigSource source);
  // As OfferWhole(), from bytes of a peer's EncodeHeld().
  OfferResult OfferBytes(std::string_view bytes, ConfigSource source);

  // The configuration in force; never null. Cheap.
  std::shared_ptr<const Configuration> Get() const;
  HeldConfiguration Held() const;
  // Whether there is one: the newest heard of was taken, or the service said
  // that nothing was ever accepted (MarkEmpty()). Stays true.
  bool ready() const;
  // The service answered that it holds no head.
  void MarkEmpty();

  // The newest revision heard of from anywhere.
  base::Revision newest_heard() const;
  // Whether a newer revision than the one in force was heard of.
  bool behind() const;
  // Time since then; zero when not behind.
  base::Duration BehindFor() const;
  // The service's last head was older than the configuration in force.
  bool service_is_behind() const;
  // The service's last head or delta was of another history.
  bool forked() const;

 private:
  struct State {
    HeldConfiguration held;
    bool ready = false;
    base::Revision newest_heard{0};
    base::Time behind_since{};
    bool service_is_behind = false;
    bool forked = false;
    // Deltas that came early, by revision.
    std::map<base::Revision, ChainedDelta> early;
  };
  struct Taken {
    base::Revision revision;
    ChainedDelta delta;
  };

  // All with the lock held.
  OfferResult TakeDelta(const ChainedDelta& delta,
                        const ConfigDelta& parsed,
                        ConfigSource source,
                        std::vector<Taken>* taken);
  OfferResult ApplyNext(const ChainedDelta& delta, const ConfigDelta& parsed);
  void ApplyEarly(std::vector<Taken>* taken);
  void Hear(base::Revision revision);
  void Settle();

  void Announce(const std::vector<Taken>& taken);
  OfferResult Count(std::string_view what,
                    base::Revision revision,
                    ConfigSource source,
                    OfferResult result);

  const ConfigTrackerHooks hooks_;
  base::Metrics& metrics_;
  mutable std::mutex mutex_;
  State state_;
  // The configuration in force once more, for Get() without the lock.
  std::atomic<std::shared_ptr<const Configuration>> current_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_TRACKER_H_
