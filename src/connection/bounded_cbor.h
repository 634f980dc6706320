// Decoding of CBOR from peers under bounds on size, depth and element count.
//
// The bounds are checked by a pass of the library's event interface before
// any value is built, so a hostile message costs no more than its own length.
#ifndef LYNXGLADE_CONNECTION_BOUNDED_CBOR_H_
#define LYNXGLADE_CONNECTION_BOUNDED_CBOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "connection/http_limits.h"

namespace lynxglade::connection {

enum class CborError {
  kNone,
  kTooLarge,
  kTooDeep,
  kTooManyElements,
  // Not CBOR, cut short, or followed by further bytes.
  kMalformed,
};
std::string_view ToString(CborError error) noexcept;

struct CborLimits {
  std::size_t max_bytes = kMaxPeerMessageBytes;
  // Arrays and maps within each other.
  std::size_t max_depth = 8;
  // Values and map keys over the whole message.
  std::size_t max_elements = 64u << 10;
};

// Decodes one value that fills `bytes` whole. On failure returns nothing and
// says why in `error`, which must not be null. Thread-safe.
std::optional<nlohmann::json> DecodeCbor(std::string_view bytes,
                                         const CborLimits& limits,
                                         CborError* error);

// Nothing if `value` is not a whole number from 0 to `high`.
std::optional<std::uint64_t> CborWhole(const nlohmann::json& value,
                                       std::uint64_t high);

// As DecodeCbor() for a message that is an array with its version in front;
// nothing for any other.
std::optional<nlohmann::json> DecodeVersioned(std::string_view bytes,
                                              const CborLimits& limits,
                                              std::uint64_t version);

// Encodes any value.
std::string EncodeCbor(const nlohmann::json& value);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_BOUNDED_CBOR_H_
