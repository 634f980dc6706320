// Load reports of targets (docs/PROTOCOLS.md).
#ifndef LYNXGLADE_CONNECTION_LOAD_REPORT_H_
#define LYNXGLADE_CONNECTION_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "request/target.h"

namespace lynxglade::connection {

struct LoadReport {
  base::TargetId target;
  std::string incarnation;
  // Increases within an incarnation.
  std::uint64_t sequence = 0;
  // Creation time by the target's clock, in Unix milliseconds.
  std::int64_t created_ms = 0;
  request::EngineRole role = request::EngineRole::kMixed;
  base::ModelName model;
  base::ModelVersion version;
  bool draining = false;
  // load.as_of is `now` minus the report's age according to created_ms.
  request::TargetLoad load;
};

// Parses a report that arrived at `now`. Returns nullopt if it is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view json_text,
                                          base::Time now);

// Encodes the fields that ParseLoadReport() reads as JSON.
std::string EncodeLoadReport(const LoadReport& report);

// Requests a report from a target. Returns nullopt if there is no valid answer.
// Blocks; `timeout` applies to connecting and to each read.
std::optional<LoadReport> FetchLoadReport(const std::string& address,
                                          int port,
                                          base::Duration timeout,
                                          const base::Clock& now);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_LOAD_REPORT_H_
