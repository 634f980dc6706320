// Targets as routing sees them: one immutable table, replaced as a whole, and
// counters beside it that every request touches.
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
// Returns false on other text.
bool ParseEngineRole(std::string_view text, EngineRole* role) noexcept;

// What a target last said of its load.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  base::Tokens queued_prefill{0};
  base::Tokens running_decode{0};
  double prefill_tokens_per_s = 0;
  double decode_tokens_per_s = 0;
  // When the report was made, by this process's clock (arrival less lag).
  base::Time as_of{};
};

// What this process itself has under way at a target; written by every
// request, so atomic and outside the table. Change it through InFlight
// (request/in_flight.h), which keeps its parts in step.
struct LocalLoad {
  std::atomic<int> running{0};
  std::atomic<std::int64_t> prefill_tokens{0};
  std::atomic<std::int64_t> decode_tokens{0};
  // Nanoseconds on the clock until which the target is ejected; 0 when not.
  // Written by OutlierEjector.
  std::atomic<std::int64_t> ejected_until{0};
  // What was sent when, to correct reports that are older.
  SendHistory history;
};

// One target. Only kServing takes new work.
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

// All targets in view, sorted by service so that one service's are adjacent.
struct TargetTable {
  std::vector<Target> targets;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_TARGET_H_
