// Parses untrusted JSON with limits on nesting depth and number range.
//
// The JSON library parses without recursion but serializes and compares
// recursively, so deep nesting could exhaust a connection thread's stack.
#ifndef LYNXGLADE_BASE_BOUNDED_JSON_H_
#define LYNXGLADE_BASE_BOUNDED_JSON_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace lynxglade::base {

inline constexpr int kMaxJsonDepth = 64;

// Nothing if the text is not valid JSON or nests deeper than `max_depth`.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               int max_depth = kMaxJsonDepth);

// The same, but what nests deeper is dropped.
std::optional<nlohmann::json> ParseJsonWithoutDeepValues(
    std::string_view text,
    int max_depth = kMaxJsonDepth);

// The member as an integer from `low` to `high`. Nothing if it is missing, out
// of range or of another type, including a floating-point number: converting
// such a value could be undefined behaviour or wrap around into the range.
std::optional<std::int64_t> WholeMember(const nlohmann::json& object,
                                        const char* name,
                                        std::int64_t low,
                                        std::int64_t high);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_BOUNDED_JSON_H_
