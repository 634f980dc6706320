// Distributes the configuration between instances by gossip.
//
// Each instance publishes the deltas that it applies, so one watcher per zone
// is enough. The last kPublishedDeltas deltas and the newest snapshot stay in
// the views, so that a new instance can load them from any peer while the
// key-value service is unavailable.
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

// Size of a snapshot part and size limit of a published delta. Both fit into
// one fact of a peer message even if half of a part has to be escaped. For a
// larger delta a snapshot is published instead.
inline constexpr std::size_t kPublishedPartBytes = 24u << 10;
inline constexpr std::size_t kPublishedDeltaBytes = 60u << 10;

// Configuration revision published by an instance.
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
  // Number of known members including this one; scales the publish interval.
  std::function<std::size_t()> member_count;
};

// Thread-safe; does not block.
class ConfigGossip {
 public:
  // `tracker` and `metrics` must outlive this object.
  ConfigGossip(base::InstanceId instance,
               ConfigTracker& tracker,
               ConfigGossipHooks hooks,
               base::Metrics& metrics);
  ConfigGossip(const ConfigGossip&) = delete;
  ConfigGossip& operator=(const ConfigGossip&) = delete;

  // Publish to peers; called from hooks of the tracker and the plan service.
  void PublishDelta(base::Revision revision, const ChainedDelta& delta);
  void PublishSnapshot(const ConfigSnapshot& snapshot);

  // Handles facts of the kinds kConfigHead and kConfigDelta from peers.
  void HandleFact(const process::ViewItem& item);

  // Call about once a second. Publishes this instance's revision when it
  // changed or before the last published fact expires, at a rate limited by the
  // number of members.
  void Tick();

  // Decodes a fact of the kind kConfigInForce; nullopt when malformed.
  static std::optional<InstanceRevision> DecodeInstanceRevision(
      const process::ViewItem& item);

 private:
  // Received parts of an incomplete snapshot.
  struct Assembly {
    base::Revision revision{0};
    std::size_t count = 0;
    std::map<std::size_t, std::string> parts;
  };

  void HandleSnapshotPart(const process::ViewItem& item);
  // Adds a part; returns the snapshot bytes once all parts were received.
  std::optional<std::string> AddPart(base::Revision revision,
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
  base::Revision published_revision_{0};
  base::Time published_at_{};
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_GOSSIP_H_
