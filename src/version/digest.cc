#include "version/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace lynxglade::version {

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(digest.size() * 2);
  for (const unsigned char it : digest) {
    text.push_back(kDigits[it >> 4]);
    text.push_back(kDigits[it & 0x0f]);
  }
  return text;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace lynxglade::version
