// Stable 64-bit hashing (xxHash). The value is the same on every instance, so
// it can be used in keys shared between instances.
#ifndef LYNXGLADE_BASE_HASH_H_
#define LYNXGLADE_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace lynxglade::base {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

// Hash of an ordered pair, for rendezvous hashing.
std::uint64_t HashPair(std::string_view a, std::string_view b) noexcept;

// 16 lower-case hexadecimal digits.
std::string ToHex(std::uint64_t n);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_HASH_H_
