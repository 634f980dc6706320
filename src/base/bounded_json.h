// JSON from outside, read with bounds on its nesting and its numbers.
//
// The library parses without recursion but writes and compares by recursion,
// so text that nests too deeply would exhaust a connection thread's stack.
#ifndef LYNXGLADE_BASE_BOUNDED_JSON_H_
#define LYNXGLADE_BASE_BOUNDED_JSON_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace lynxglade::base {

inline constexpr int kMaxJsonDepth = 64;

// Nothing when the text is not JSON or nests deeper than `max_depth`.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               int max_depth = kMaxJsonDepth);

// A member that is a whole number from `low` to `high`. Nothing when it is
// missing, of another type (a real number, too) or outside: converting such a
// number would be undefined, or would wrap around into the range.
std::optional<std::int64_t> WholeMember(const nlohmann::json& object,
                                        const char* name,
                                        std::int64_t low,
                                        std::int64_t high);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_BOUNDED_JSON_H_
