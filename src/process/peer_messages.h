// Messages between instances and their CBOR encoding.
//
// Each message is a CBOR array that starts with the number of the message type.
// The hello message carries the protocol version and peers with another version
// are rejected then, so the other messages carry none.
#ifndef LYNXGLADE_PROCESS_PEER_MESSAGES_H_
#define LYNXGLADE_PROCESS_PEER_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "process/view_item.h"

namespace lynxglade::process {

inline constexpr std::uint64_t kPeerProtocolVersion = 1;

// Limits for decoding a fact.
inline constexpr std::size_t kMaxViewKeyBytes = 256;
inline constexpr std::size_t kMaxViewBodyBytes = 64u << 10;
inline constexpr std::size_t kMaxPeerIdBytes = 128;

// First message in each direction.
struct HelloMessage {
  std::uint64_t protocol = kPeerProtocolVersion;
  base::InstanceId instance;
  base::ZoneId zone;
  // Address and port at which the instance accepts links.
  std::string address;
  int port = 0;
};

// Shows that the sender runs and, by the echo, that it receives messages.
struct HeartbeatMessage {
  std::uint64_t sequence = 0;
  // Last sequence received from the peer; 0 for none.
  std::uint64_t echo = 0;
};

struct ViewBatchMessage {
  std::vector<ViewItem> items;
};

// One hash for each bucket of the store; see view_store.h.
struct DigestMessage {
  std::vector<std::uint64_t> buckets;
};

// Identifies one version of a fact without its content.
struct SummaryEntry {
  // Hash of kind and key.
  std::uint64_t key_hash = 0;
  ViewVersion version;
  // Hash of the body, to distinguish facts with equal versions.
  std::uint64_t body_hash = 0;
};

struct SummaryBucket {
  std::uint64_t bucket = 0;
  std::vector<SummaryEntry> entries;
};

// All facts of the buckets that differ.
struct SummaryMessage {
  std::vector<SummaryBucket> buckets;
};

// Requests facts by their key hashes.
struct FetchMessage {
  std::vector<std::uint64_t> key_hashes;
};

// The sender closes this link deliberately. It keeps running, unless it has
// announced with its kInstance fact that it is leaving.
struct CloseLinkMessage {};

using PeerMessage = std::variant<HelloMessage,
                                 HeartbeatMessage,
                                 ViewBatchMessage,
                                 DigestMessage,
                                 SummaryMessage,
                                 FetchMessage,
                                 CloseLinkMessage>;

enum class PeerMessageError {
  kNone,
  // Not CBOR within the bounds of bounded_cbor.h.
  kBadEncoding,
  kUnknownType,
  // A field is missing, surplus, of the wrong type or out of range.
  kBadField,
};
std::string_view ToString(PeerMessageError error) noexcept;

// The age of each fact is computed as of `now`.
std::string EncodePeerMessage(const PeerMessage& message, base::Time now);

// Rejects any input that is not exactly one valid message. `error` must not be
// null. Thread-safe.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                             base::Time now,
                                             PeerMessageError* error);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_PEER_MESSAGES_H_
