// Carries arbitrary bytes through formats that hold text only.
#ifndef LYNXGLADE_BASE_TEXT_BYTES_H_
#define LYNXGLADE_BASE_TEXT_BYTES_H_

#include <string>
#include <string_view>

namespace lynxglade::base {

// Valid UTF-8: each byte that is part of no character is replaced by a
// noncharacter (U+FDD0) and two hexadecimal digits.
std::string EscapeInvalidUtf8(std::string_view text);
// The bytes before EscapeInvalidUtf8().
std::string UnescapeInvalidUtf8(std::string_view text);

// For a component of a URL's query, in which '/' may stay (RFC 3986).
std::string PercentEncode(std::string_view bytes);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_TEXT_BYTES_H_
