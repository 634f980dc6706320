// Hashes caller and operator keys, so that only the hashes need to be stored.
#ifndef LYNXGLADE_BASE_SECRET_HASH_H_
#define LYNXGLADE_BASE_SECRET_HASH_H_

#include <string>
#include <string_view>

namespace lynxglade::base {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string SecretHash(std::string_view secret);

// Takes a time that depends only on the lengths, not on the content.
bool ConstantTimeEqual(std::string_view a, std::string_view b) noexcept;

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_SECRET_HASH_H_
