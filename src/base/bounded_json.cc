#include "base/bounded_json.h"

#include <nlohmann/json.hpp>

namespace lynxglade::base {

std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               int max_depth) {
  bool too_deep = false;
  const auto watch_depth = [&](int depth, nlohmann::json::parse_event_t,
                               nlohmann::json&) {
    too_deep = too_deep || depth > max_depth;
    // False drops the value, which keeps what is built shallow.
    return depth <= max_depth;
  };
  nlohmann::json parsed = nlohmann::json::parse(text, watch_depth,
                                                /*allow_exceptions=*/false);
  if (parsed.is_discarded() || too_deep) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace lynxglade::base
