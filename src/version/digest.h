// SHA-256, for digests of plans and configurations and for operators' keys.
#ifndef LYNXGLADE_VERSION_DIGEST_H_
#define LYNXGLADE_VERSION_DIGEST_H_

#include <string>
#include <string_view>

namespace lynxglade::version {

// 64 lower-case hexadecimal digits (OpenSSL).
std::string Sha256Hex(std::string_view bytes);

// Compares in a time that depends on the lengths only.
bool EqualInConstantTime(std::string_view a, std::string_view b) noexcept;

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_DIGEST_H_
