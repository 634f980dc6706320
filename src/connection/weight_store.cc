#include "connection/weight_store.h"

#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
namespace lynxglade::connection {
namespace {

constexpr std::int64_t kMaxLoadsPerMinute = 1'000'000;

}  // namespace

WeightStore::WeightStore(PlatformFetch fetch) : fetch_(std::move(fetch)) {}

std::optional<WeightLimits> WeightStore::ReadLimits(
    PlatformError* last_error) const {
  const std::optional<std::string> body =
      FetchBody(fetch_, "/v1/limits", last_error);
  if (!body) {
    return std::nullopt;
  }
  const auto limits = base::ParseBoundedJson(*body).value_or(nlohmann::json());
  const bool shaped = limits.is_object() &&
                      limits.contains("loads_per_minute") &&
                      limits["loads_per_minute"].is_number_integer();
  const auto n =
      shaped ? limits["loads_per_minute"].get<std::int64_t>() : std::int64_t{0};
  if (n < 1 || n > kMaxLoadsPerMinute) {
    *last_error = PlatformError::kBadAnswer;
    return std::nullopt;
  }
  return WeightLimits{static_cast<int>(n)};
}

}  // namespace lynxglade::connection
