#include "base/whole_number.h"

#include <charconv>
#include <system_error>

namespace lynxglade::base {

std::optional<std::int64_t> ParseWhole(std::string_view text,
                                       std::int64_t low,
                                       std::int64_t high) noexcept {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  // from_chars() gets the end as well, so no terminating zero is needed.
  // NOLINTNEXTLINE(bugprone-suspicious-stringview-data-usage)
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end || n < low || n > high) {
    return std::nullopt;
  }
  return n;
}

}  // namespace lynxglade::base
