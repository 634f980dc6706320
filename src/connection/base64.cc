#include "connection/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace lynxglade::connection {
namespace {

constexpr std::size_t kMaxPadding = 2;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Base64Encode(std::string_view bytes) {
  // One extra byte for the terminator that OpenSSL writes.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                Bytes(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::optional<std::string> Base64Decode(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                Bytes(text), static_cast<int>(text.size()));
  if (n < 0) {
    return std::nullopt;
  }
  // OpenSSL counts the zero bytes decoded from the padding.
  const std::size_t last = text.find_last_not_of('=');
  const std::size_t padding =
      last == std::string_view::npos ? text.size() : text.size() - last - 1;
  if (padding > kMaxPadding) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

}  // namespace lynxglade::connection
