// Parses integers in untrusted text.
#ifndef LYNXGLADE_BASE_WHOLE_NUMBER_H_
#define LYNXGLADE_BASE_WHOLE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace lynxglade::base {

// Nothing unless the whole text is a decimal integer from `low` to `high`.
std::optional<std::int64_t> ParseWhole(std::string_view text,
                                       std::int64_t low,
                                       std::int64_t high) noexcept;

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_WHOLE_NUMBER_H_
