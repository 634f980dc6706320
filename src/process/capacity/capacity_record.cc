#include "process/capacity/capacity_record.h"

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::process::capacity {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxEngines = 1'000'000;

bool ParseZone(const json& row, OrderedZone* zone) {
  if (!row.is_object()) {
    return false;
  }
  const auto base = base::WholeMember(row, "base", 0, kMaxEngines);
  const auto regular = base::WholeMember(row, "regular", 0, kMaxEngines);
  const auto spot = base::WholeMember(row, "spot", 0, kMaxEngines);
  if (!base || !regular || !spot) {
    return false;
  }
  *zone = {static_cast<int>(*base),
           {static_cast<int>(*regular), static_cast<int>(*spot)}};
  return true;
}

}  // namespace

std::string EncodeRecord(const CapacityRecord& record) {
  json services = json::object();
  for (const auto& [service, zones] : record) {
    json& rows = services[service.str()] = json::object();
    for (const auto& [zone, it] : zones) {
      rows[zone.str()] = {{"base", it.base},
                          {"regular", it.ordered.regular},
                          {"spot", it.ordered.spot}};
    }
  }
  return services.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<CapacityRecord> DecodeRecord(std::string_view text) {
  const auto services = base::ParseBoundedJson(text);
  if (!services || !services->is_object()) {
    return std::nullopt;
  }
  CapacityRecord record;
  for (const auto& [service, rows] : services->items()) {
    if (!rows.is_object()) {
      return std::nullopt;
    }
    for (const auto& [zone, row] : rows.items()) {
      if (!ParseZone(row,
                     &record[base::ServiceName(service)][base::ZoneId(zone)])) {
        return std::nullopt;
      }
    }
  }
  return record;
}

}  // namespace lynxglade::process::capacity
