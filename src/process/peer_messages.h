// What instances say to each other, typed, and its CBOR form.
//
// Each message is a CBOR array that starts with the message's number. The
// greeting carries the protocol version; peers of another version are refused
// there, so that the other messages need none.
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

// Bounds on the parts of a fact.
inline constexpr std::size_t kMaxViewKeyBytes = 256;
inline constexpr std::size_t kMaxViewBodyBytes = 64u << 10;
inline constexpr std::size_t kMaxPeerIdBytes = 128;

// First message each way.
struct HelloMessage {
  std::uint64_t protocol = kPeerProtocolVersion;
  base::InstanceId instance;
  base::ZoneId zone;
  // Where the instance accepts links.
  std::string address;
  int port = 0;
};

// Shows that the sender runs, and by the echo that it hears the receiver.
struct HeartbeatMessage {
  std::uint64_t sequence = 0;
  // Last sequence received from the other side; 0 for none.
  std::uint64_t echo = 0;
};

struct ViewBatchMessage {
  std::vector<ViewItem> items;
};

// One hash for each bucket of the store; see view_store.h.
struct DigestMessage {
  std::vector<std::uint64_t> buckets;
};

// Names one fact without its content.
struct SummaryEntry {
  // Hash of kind and key.
  std::uint64_t key_hash = 0;
  ViewVersion version;
  // Hash of the body, to tell apart equal versions.
  std::uint64_t body_hash = 0;
};

struct SummaryBucket {
  std::uint64_t bucket = 0;
  std::vector<SummaryEntry> entries;
};

// Every fact of the buckets that differ.
struct SummaryMessage {
  std::vector<SummaryBucket> buckets;
};

// Asks for facts by their key hashes.
struct FetchMessage {
  std::vector<std::uint64_t> key_hashes;
};

// The sender gives up this link on purpose; it goes on running, or has said by
// its kInstance fact that it leaves.
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
  // A field is missing, surplus, of the wrong type or out of its range.
  kBadField,
};
std::string_view ToString(PeerMessageError error) noexcept;

// Ages of facts are counted up to `now`.
std::string EncodePeerMessage(const PeerMessage& message, base::Time now);

// Strict: whatever is not exactly one known message is refused. `error` must
// not be null. Thread-safe.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                             base::Time now,
                                             PeerMessageError* error);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_PEER_MESSAGES_H_
