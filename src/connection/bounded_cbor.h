// CBOR decoder with limits on size, depth and element count.
//
// A SAX pass checks the limits before any value is built, so a hostile message
// cannot cause large allocations.
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
  // Not CBOR, truncated, or followed by further bytes.
  kMalformed,
};
std::string_view ToString(CborError error) noexcept;

struct CborLimits {
  std::size_t max_bytes = kMaxPeerMessageBytes;
  // Nesting of arrays and maps.
  std::size_t max_depth = 8;
  // Values and map keys in the whole message.
  std::size_t max_elements = 64u << 10;
};

// Decodes one value that spans all of `bytes`. On failure returns nullopt and
// sets `error`, which must not be null. Thread-safe.
std::optional<nlohmann::json> DecodeCbor(std::string_view bytes,
                                         const CborLimits& limits,
                                         CborError* error);

// Returns nullopt if `value` is not an integer from 0 to `high`.
std::optional<std::uint64_t> CborWhole(const nlohmann::json& value,
                                       std::uint64_t high);

// Like DecodeCbor(), for a message that is an array whose first element is
// `version`. Returns nullopt for any other message.
std::optional<nlohmann::json> DecodeVersioned(std::string_view bytes,
                                              const CborLimits& limits,
                                              std::uint64_t version);

std::string EncodeCbor(const nlohmann::json& value);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_BOUNDED_CBOR_H_
