// The table of targets that routing uses. A table is immutable and replaced as
// a whole; the counters that requests update are kept apart in LocalLoad.
#ifndef LYNXGLADE_REQUEST_TARGET_H_
#define LYNXGLADE_REQUEST_TARGET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/cost.h"
#include "request/send_history.h"

namespace lynxglade::request {

enum class EngineRole { kMixed, kPrefill, kDecode, kPlain };
std::string_view ToString(EngineRole role) noexcept;
// Returns false if `text` names no role.
bool ParseEngineRole(std::string_view text, EngineRole* role) noexcept;

// A target's last load report.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  base::Tokens queued_prefill{0};
  base::Tokens running_decode{0};
  double prefill_tokens_per_s = 0;
  double decode_tokens_per_s = 0;
  // When the report was made, on this process's clock (arrival minus lag).
  base::Time as_of{};
};

// What this process has in flight at a target. Updated by every request, hence
// atomic and outside the immutable table. Update it through InFlight
// (request/in_flight.h), which keeps the counters consistent.
struct LocalLoad {
  std::atomic<int> running{0};
  std::atomic<std::int64_t> prefill_tokens{0};
  std::atomic<std::int64_t> decode_tokens{0};
  // End of the target's ejection in nanoseconds since the clock's epoch; 0 if
  // it is not ejected. Written by OutlierEjector.
  std::atomic<std::int64_t> ejected_until{0};
  // Recent sends, to correct reports made before them.
  SendHistory history;
};

// Only kServing accepts new work.
enum class TargetState { kServing, kDraining, kLeaving, kChanging, kEjected };
std::string_view ToString(TargetState state) noexcept;

struct Target {
  base::TargetId id;
  base::ServiceName service;
  base::ZoneId zone;
  std::string address;
  int port = 0;
  EngineRole role = EngineRole::kMixed;
  base::ModelName model;
  base::ModelVersion version;
  bool fenced = false;
  TargetState state = TargetState::kServing;
  TargetLoad load;
  // Shared by successive tables for the same target; never null.
  std::shared_ptr<LocalLoad> local_load = std::make_shared<LocalLoad>();
};

// All known targets, sorted by service.
struct TargetTable {
  std::vector<Target> targets;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_TARGET_H_
