// SHA-256 digests for plans, configurations and keys.
#ifndef LYNXGLADE_VERSION_DIGEST_H_
#define LYNXGLADE_VERSION_DIGEST_H_

#include <string>
#include <string_view>

namespace lynxglade::version {

// 64 lower-case hexadecimal digits (OpenSSL).
std::string Sha256Hex(std::string_view bytes);

// Compares in time that depends only on the lengths.
bool EqualInConstantTime(std::string_view a, std::string_view b) noexcept;

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_DIGEST_H_
