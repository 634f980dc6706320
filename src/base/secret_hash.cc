#include "base/secret_hash.h"

#include <array>
#include <cstdio>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace lynxglade::base {

std::string SecretHash(std::string_view secret) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
         digest.data());
  std::string hex;
  for (unsigned char byte : digest) {
    std::array<char, 3> buf{};
    std::snprintf(buf.data(), buf.size(), "%02x", byte);
    hex += buf.data();
  }
  return hex;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace lynxglade::base
