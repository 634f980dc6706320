// Whole numbers in text from outside.
#ifndef LYNXGLADE_BASE_WHOLE_NUMBER_H_
#define LYNXGLADE_BASE_WHOLE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace lynxglade::base {

// All of the text as a decimal number from `low` to `high`.
std::optional<std::int64_t> ParseWhole(std::string_view text,
                                       std::int64_t low,
                                       std::int64_t high) noexcept;

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_WHOLE_NUMBER_H_
