// Names of an accepted configuration: its head, its delta as stored and as
// passed on between instances, and the whole as held.
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

// How many of the last deltas instances keep to pass on to peers: as many as
// may lie between the newest snapshot and the head.
inline constexpr std::int64_t kPublishedDeltas = 1024;

// The newest accepted configuration. The revision is a counter of ours inside
// the value: a service restored from an old copy cannot make it look new.
struct ConfigHead {
  base::Revision revision{0};
  // Digest of the history up to the revision; see ChainDigest().
  std::string digest;
  // Revision of the newest snapshot; 0: the empty configuration.
  base::Revision snapshot{0};
  // Values that the snapshot is cut into.
  int snapshot_parts = 0;
  // Unique to the write that put this value.
  std::string mark;

  bool operator==(const ConfigHead&) const = default;
};

// A delta with the digests that tie it to its history.
struct ChainedDelta {
  // As EncodeDelta() wrote it; the digests are over these bytes.
  std::string text;
  std::string previous_digest;
  std::string digest;
};

// A configuration with the digest of its history. The digest is empty only
// at revision 0.
struct HeldConfiguration {
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>();
  std::string digest;

  base::Revision revision() const noexcept { return configuration->revision; }
};

std::string EncodeHead(const ConfigHead& head);
std::optional<ConfigHead> DecodeHead(std::string_view text);

// Makes the chained form of a delta that follows `previous_digest`.
ChainedDelta Chain(const ConfigDelta& delta,
                   const std::string& previous_digest);
std::string EncodeChained(const ChainedDelta& delta);
// Nothing when the digest does not match the text.
std::optional<ChainedDelta> DecodeChained(std::string_view text);

// The whole, as bytes for snapshots and for peers.
std::string EncodeHeld(const HeldConfiguration& held);
std::optional<HeldConfiguration> DecodeHeld(std::string_view bytes,
                                            CodecFault* fault);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_HEAD_H_
