// What a target says of its load and of itself (docs/PROTOCOLS.md).
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
  // Rises within an incarnation.
  std::uint64_t sequence = 0;
  // When the target made it, in Unix milliseconds by the target's clock.
  std::int64_t made_ms = 0;
  request::EngineRole role = request::EngineRole::kMixed;
  base::ModelName model;
  base::ModelVersion version;
  bool draining = false;
  // load.as_of is `now` less the age that the report's own time shows.
  request::TargetLoad load;
};

// Reads a report that arrived at `now`. Nothing when it is malformed.
std::optional<LoadReport> ParseLoadReport(std::string_view json_text,
                                          base::Time now);

// JSON text that ParseLoadReport reads; only the fields that it reads.
std::string EncodeLoadReport(const LoadReport& report);

// Asks a target for its report; blocks for at most `timeout`. Nothing when it
// does not answer or answers something else.
std::optional<LoadReport> FetchLoadReport(const std::string& address,
                                          int port,
                                          base::Duration timeout,
                                          const base::Clock& now);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_LOAD_REPORT_H_
