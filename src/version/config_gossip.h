// The configuration as facts that instances tell each other.
//
// Whoever takes a delta passes it on, so one watcher a zone is enough. The
// last kPublishedDeltas and the newest snapshot stay in the views: a fresh
// instance takes them from any peer while the key-value service is down.
#ifndef LYNXGLADE_VERSION_CONFIG_GOSSIP_H_
#define LYNXGLADE_VERSION_CONFIG_GOSSIP_H_

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "process/view_item.h"
#include "version/config_head.h"
#include "version/config_tracker.h"

namespace lynxglade::version {

// Bytes of a whole in one fact, and of the largest delta that is passed on as
// such; both fit one fact of a peer message, also when half of a part has to
// be escaped. After a greater delta the whole goes out.
inline constexpr std::size_t kPublishedPartBytes = 24u << 10;
inline constexpr std::size_t kPublishedDeltaBytes = 60u << 10;

// What an instance says it holds.
struct InstanceRevision {
  base::InstanceId instance;
  base::Revision revision{0};
  std::string digest;
  base::Time as_of{};
};

struct ConfigGossipHooks {
  base::Clock clock;
  // ViewService::Publish.
  std::function<void(process::ViewItem)> publish;
  // Members known, this one included; spaces out what each says of itself.
  std::function<std::size_t()> member_count;
};

// Thread-safe. Nothing here blocks.
class ConfigGossip {
 public:
  // `tracker` and `metrics` must outlive this object.
  ConfigGossip(base::InstanceId instance,
               ConfigTracker& tracker,
               ConfigGossipHooks hooks,
               base::Metrics& metrics);
  ConfigGossip(const ConfigGossip&) = delete;
  ConfigGossip& operator=(const ConfigGossip&) = delete;

  // Outwards: hooks of the tracker and of the plan service.
  void TellDelta(base::Revision revision, const ChainedDelta& delta);
  void TellWhole(const HeldConfiguration& whole);

  // Inwards: facts of the kinds kConfigHead and kConfigDelta.
  void Hear(const process::ViewItem& item);

  // Call about once a second: says what this instance holds, when that changed
  // or was last said long ago, and not more often than the number of members
  // allows.
  void Tick();

  // Reads facts of the kind kConfigInForce.
  static std::optional<InstanceRevision> ReadInForce(
      const process::ViewItem& item);

 private:
  // Parts of a whole that are not all there yet.
  struct Assembly {
    base::Revision revision{0};
    std::size_t count = 0;
    std::map<std::size_t, std::string> parts;
  };

  void HearPart(const process::ViewItem& item);
  // All parts in order, once they are there.
  std::optional<std::string> Add(base::Revision revision,
                                 std::size_t index,
                                 std::size_t count,
                                 std::string text);
  void Publish(process::ViewKind kind,
               std::string key,
               process::ViewVersion version,
               std::string body);

  const base::InstanceId instance_;
  ConfigTracker& tracker_;
  const ConfigGossipHooks hooks_;
  base::Metrics& metrics_;
  std::mutex mutex_;
  Assembly assembly_;
  base::Revision told_{0};
  base::Time told_at_{};
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_GOSSIP_H_
