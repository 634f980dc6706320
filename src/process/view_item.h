// One fact that instances tell each other.
#ifndef LYNXGLADE_PROCESS_VIEW_ITEM_H_
#define LYNXGLADE_PROCESS_VIEW_ITEM_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::process {

enum class ViewKind : std::uint8_t {
  // An instance: alive or leaving. Key: instance id.
  kInstance = 1,
  // What an engine was last seen to be (role, model, draining, leaving).
  // Key: target id.
  kTarget = 2,
  // A request content that crashes its targets. Key: hex content hash.
  kQuarantine = 3,
  // A target's load report, aged. Key: target id.
  kLoad = 4,
  // The configuration's head; version.epoch is its revision. Keys: "head" the
  // newest accepted, "whole/<n>" a part of the newest snapshot.
  kConfigHead = 5,
  // A configuration delta; version.epoch is its revision. Key: the revision
  // modulo version::kPublishedDeltas, so that a store holds only the last ones.
  kConfigDelta = 6,
  // The configuration that an instance holds; version.epoch is its revision.
  // Key: instance id.
  kConfigInForce = 7,
  // A target's row in the platform's instance list (listed_rows.h);
  // version.epoch is the list's revision. Key: target id.
  kListed = 8,
};

// Order of facts under one key: the greater epoch wins, then the greater
// sequence. Epochs come from the key-value service's revisions or a target's
// incarnation, sequences from the source.
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
  // When the source made it, by the receiver's clock: receipt less the age
  // that the message carried.
  base::Time as_of{};
  // JSON text of the fact; its shape belongs to the kind.
  std::string body;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_VIEW_ITEM_H_
