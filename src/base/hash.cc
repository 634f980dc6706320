#include "base/hash.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace lynxglade::base {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t HashPair(std::string_view a, std::string_view b) noexcept {
  return Hash64(b, Hash64(a));
}

std::string ToHex(std::uint64_t n) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(n));
  return std::string(buf.data(), 16);
}

}  // namespace lynxglade::base
