// The orders for engines that were given last, as the store keeps them for the
// next holder of the duty.
#ifndef LYNXGLADE_PROCESS_CAPACITY_CAPACITY_RECORD_H_
#define LYNXGLADE_PROCESS_CAPACITY_CAPACITY_RECORD_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "process/capacity/capacity_plan.h"

namespace lynxglade::process::capacity {

struct OrderedZone {
  // Engines that the operator started the service with.
  int base = 0;
  EngineCounts ordered;

  bool operator==(const OrderedZone&) const = default;
};
using OrderedZones = std::map<base::ZoneId, OrderedZone>;
using CapacityRecord = std::map<base::ServiceName, OrderedZones>;

std::string EncodeRecord(const CapacityRecord& record);
// Nothing for malformed text.
std::optional<CapacityRecord> DecodeRecord(std::string_view text);

}  // namespace lynxglade::process::capacity

#endif  // LYNXGLADE_PROCESS_CAPACITY_CAPACITY_RECORD_H_
