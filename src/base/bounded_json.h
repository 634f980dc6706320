// JSON from outside, parsed with a bound on its nesting.
//
// The library parses without recursion but writes and compares by recursion,
// so text that nests too deeply would exhaust a connection thread's stack.
#ifndef LYNXGLADE_BASE_BOUNDED_JSON_H_
#define LYNXGLADE_BASE_BOUNDED_JSON_H_

#include <optional>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace lynxglade::base {

inline constexpr int kMaxJsonDepth = 64;

// Nothing when the text is not JSON or nests deeper than `max_depth`.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               int max_depth = kMaxJsonDepth);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_BOUNDED_JSON_H_
