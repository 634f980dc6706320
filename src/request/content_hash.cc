#include "request/content_hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <memory>
#include <span>
#include <system_error>

#include <openssl/evp.h>

#include "base/hash.h"

namespace lynxglade::request {

namespace {

constexpr std::size_t kWordBytes = 8;
constexpr std::size_t kWordDigits = 16;
constexpr int kByteBits = 8;
constexpr int kHex = 16;

using Word = std::array<unsigned char, kWordBytes>;

Word BigEndian(std::uint64_t n) {
  Word bytes{};
  std::ranges::generate(bytes.rbegin(), bytes.rend(), [&n] {
    const auto byte = static_cast<unsigned char>(n);
    n >>= kByteBits;
    return byte;
  });
  return bytes;
}

std::uint64_t FromBigEndian(std::span<const unsigned char> bytes) {
  std::uint64_t n = 0;
  std::ranges::for_each(
      bytes, [&n](unsigned char byte) { n = (n << kByteBits) | byte; });
  return n;
}

std::optional<std::uint64_t> ParseWord(std::string_view hex) {
  std::uint64_t n = 0;
  const char* begin = std::to_address(hex.begin());
  const char* end = std::to_address(hex.end());
  const auto [rest, ec] = std::from_chars(begin, end, n, kHex);
  if (ec != std::errc() || rest != end || hex.empty()) {
    return std::nullopt;
  }
  return n;
}

}  // namespace

ContentHash HashContent(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : parts) {
    const Word size = BigEndian(part.size());
    EVP_DigestUpdate(context.get(), size.data(), size.size());
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  const std::span<const unsigned char> bytes(digest);
  return {FromBigEndian(bytes.subspan(0, kWordBytes)),
          FromBigEndian(bytes.subspan(kWordBytes, kWordBytes))};
}

std::string ToHex(ContentHash content) {
  return (content.high() == 0 ? std::string() : base::ToHex(content.high())) +
         base::ToHex(content.low());
}

std::optional<ContentHash> ParseContentHash(std::string_view hex) {
  if (hex.size() <= kWordDigits) {
    const auto low = ParseWord(hex);
    return low ? std::optional(ContentHash(*low)) : std::nullopt;
  }
  if (hex.size() != 2 * kWordDigits) {
    return std::nullopt;
  }
  const auto high = ParseWord(hex.substr(0, kWordDigits));
  const auto low = ParseWord(hex.substr(kWordDigits));
  return high && low ? std::optional(ContentHash(*high, *low)) : std::nullopt;
}

}  // namespace lynxglade::request
