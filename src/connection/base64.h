// Base64 encoding and decoding, for the key-value gateway.
#ifndef LYNXGLADE_CONNECTION_BASE64_H_
#define LYNXGLADE_CONNECTION_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace lynxglade::connection {

std::string Base64Encode(std::string_view bytes);

// Returns nullopt if `text` is not padded base64.
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_BASE64_H_
