#include "base/bounded_json.h"

#include <nlohmann/json.hpp>

namespace lynxglade::base {

namespace {

// Sets `too_deep` if values were dropped.
std::optional<nlohmann::json> Parse(std::string_view text,
                                    int max_depth,
                                    bool* too_deep) {
  const auto watch_depth = [&](int depth, nlohmann::json::parse_event_t,
                               nlohmann::json&) {
    *too_deep = *too_deep || depth > max_depth;
    // Returning false drops the value, which limits the depth of the result.
    return depth <= max_depth;
  };
  nlohmann::json parsed = nlohmann::json::parse(text, watch_depth,
                                                /*allow_exceptions=*/false);
  if (parsed.is_discarded()) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace

std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               int max_depth) {
  bool too_deep = false;
  auto parsed = Parse(text, max_depth, &too_deep);
  return too_deep ? std::nullopt : parsed;
}

std::optional<nlohmann::json> ParseJsonWithoutDeepValues(std::string_view text,
                                                         int max_depth) {
  bool too_deep = false;
  return Parse(text, max_depth, &too_deep);
}

std::optional<std::int64_t> WholeMember(const nlohmann::json& object,
                                        const char* name,
                                        std::int64_t low,
                                        std::int64_t high) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  if (it->is_number_unsigned() &&
      it->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX)) {
    return std::nullopt;
  }
  const auto n = it->get<std::int64_t>();
  return n >= low && n <= high ? std::optional(n) : std::nullopt;
}

}  // namespace lynxglade::base
