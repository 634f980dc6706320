// Hashes of caller and operator keys; the keys themselves are never kept.
#ifndef LYNXGLADE_BASE_SECRET_HASH_H_
#define LYNXGLADE_BASE_SECRET_HASH_H_

#include <string>
#include <string_view>

namespace lynxglade::base {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string SecretHash(std::string_view secret);

// Compares in a time that depends on the lengths only.
bool ConstantTimeEqual(std::string_view a, std::string_view b) noexcept;

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_SECRET_HASH_H_
