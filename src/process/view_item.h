// A versioned fact that instances replicate among each other by gossip.
#ifndef LYNXGLADE_PROCESS_VIEW_ITEM_H_
#define LYNXGLADE_PROCESS_VIEW_ITEM_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::process {

enum class ViewKind : std::uint8_t {
  // An instance and its state; see instance_fact.h. Key: instance id.
  kInstance = 1,
  // Last known role, model and state of an engine. Key: target id.
  kTarget = 2,
  // Request content that crashes its targets. Key: hex content hash.
  kQuarantine = 3,
  // A target's load report. Key: target id.
  kLoad = 4,
  // The head of the configuration; version.epoch is its revision. Keys: "head"
  // for the newest accepted revision, "whole/<n>" for a part of the newest
  // snapshot.
  kConfigHead = 5,
  // A configuration delta; version.epoch is its revision. Key: the revision
  // modulo version::kPublishedDeltas, so that a store keeps the latest ones
  // only.
  kConfigDelta = 6,
  // The configuration in effect at an instance; version.epoch is its revision.
  // Key: instance id.
  kConfigInForce = 7,
  // A target's row in the platform's instance list (listed_rows.h);
  // version.epoch is the list's revision. Key: target id.
  kListed = 8,
};

// Orders the facts under one key: the greater epoch wins, then the greater
// sequence. The meaning of both depends on the kind.
struct ViewVersion {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const ViewVersion&) const = default;
};

struct ViewItem {
  ViewKind kind = ViewKind::kInstance;
  std::string key;
  ViewVersion version;
  base::InstanceId source;
  // Creation time on the local clock: for a received fact, the time of receipt
  // minus the age in the message.
  base::Time as_of{};
  // JSON text; the schema depends on the kind.
  std::string body;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_VIEW_ITEM_H_
