// Head, deltas and snapshots of the accepted configuration, as stored in the
// key-value service and exchanged between instances.
#ifndef LYNXGLADE_VERSION_CONFIG_HEAD_H_
#define LYNXGLADE_VERSION_CONFIG_HEAD_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/units.h"
#include "version/config_delta.h"
#include "version/configuration.h"

namespace lynxglade::version {

// Number of recent deltas that instances keep available to peers; covers the
// longest distance between the newest snapshot and the head.
inline constexpr std::int64_t kPublishedDeltas = 1024;

// Refers to the newest accepted configuration. The revision is a counter inside
// the value rather than the key-value service's own, so that a service restored
// from an old backup is recognised as older.
struct ConfigHead {
  base::Revision revision{0};
  // Digest of the history up to the revision; see ChainDigest().
  std::string digest;
  // Revision of the newest snapshot; 0 for the empty configuration.
  base::Revision snapshot{0};
  // Number of values that the snapshot is split into.
  int snapshot_parts = 0;
  // Random id of the write that stored this head.
  std::string write_id;

  bool operator==(const ConfigHead&) const = default;
};

// A delta with the digests that link it to its history.
struct ChainedDelta {
  // EncodeDelta() text; the digests are computed over these bytes.
  std::string text;
  std::string previous_digest;
  std::string digest;
};

// A full configuration with the digest of its history. The digest is empty only
// at revision 0.
struct ConfigSnapshot {
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>();
  std::string digest;

  base::Revision revision() const noexcept { return configuration->revision; }
};

std::string EncodeHead(const ConfigHead& head);
std::optional<ConfigHead> DecodeHead(std::string_view text);

// Links a delta to the history that ends with `previous_digest`.
ChainedDelta MakeChainedDelta(const ConfigDelta& delta,
                              const std::string& previous_digest);
std::string EncodeChainedDelta(const ChainedDelta& delta);
// Returns nullopt for malformed text or when the digest does not match.
std::optional<ChainedDelta> DecodeChainedDelta(std::string_view text);

// Encodes a full configuration for storage and for peers.
std::string EncodeSnapshot(const ConfigSnapshot& snapshot);
std::optional<ConfigSnapshot> DecodeSnapshot(std::string_view bytes,
                                             CodecFault* fault);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_HEAD_H_
