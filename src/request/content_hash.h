// Identifies the content of a request: the hash of what a target would run.
#ifndef LYNXGLADE_REQUEST_CONTENT_HASH_H_
#define LYNXGLADE_REQUEST_CONTENT_HASH_H_

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace lynxglade::request {

// 128 bits, or 64 where the source of the hash has no more.
class ContentHash {
 public:
  constexpr ContentHash() = default;
  constexpr explicit ContentHash(std::uint64_t low) noexcept : low_(low) {}
  constexpr ContentHash(std::uint64_t high, std::uint64_t low) noexcept
      : high_(high), low_(low) {}

  constexpr std::uint64_t high() const noexcept { return high_; }
  constexpr std::uint64_t low() const noexcept { return low_; }

  constexpr auto operator<=>(const ContentHash&) const = default;

 private:
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

// SHA-256 over the parts and their lengths, shortened. A caller cannot make two
// contents collide, nor move bytes from one part to the next.
ContentHash HashContent(std::initializer_list<std::string_view> parts);

// 32 lower-case hexadecimal digits; 16 for a hash of 64 bits.
std::string ToHex(ContentHash content);
// The reverse of ToHex(); a hash of 64 bits may lack leading zeros. Nothing for
// any other text.
std::optional<ContentHash> ParseContentHash(std::string_view hex);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_CONTENT_HASH_H_
