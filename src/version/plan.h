// A plan: what an operator's statement would change, and at what cost.
//
// Making a plan changes nothing. Its id is the SHA-256 of its text, which
// holds the base revision, the changes, their reasons and the arithmetic: to
// confirm an id is to confirm exactly that.
#ifndef LYNXGLADE_VERSION_PLAN_H_
#define LYNXGLADE_VERSION_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "version/config_delta.h"
#include "version/config_head.h"
#include "version/share_arithmetic.h"
#include "version/stated_change.h"

namespace lynxglade::version {

enum class PlanError {
  kNone,
  // The statement or what it leads to is not valid; see the fault.
  kBadStatement,
  // Shares on a service would sum to more than 1.
  kOverCommitted,
  // The statement changes nothing.
  kNothingChanges,
  // No fleet operator with a key would be left.
  kLocksOut,
  // The change does not fit the key-value service; state it in parts.
  kTooLarge,
  // The revision to go back to is no longer, or never was, known.
  kNoSuchRevision,
  kNotPermitted,
  kUnknownPlan,
  // The key-value service cannot be reached now.
  kUnavailable,
  // This instance has no configuration yet, or the service's is older.
  kNotReady,
};
std::string_view ToString(PlanError error) noexcept;

struct PlanFault {
  PlanError error = PlanError::kNone;
  // JSON pointer into the statement or the configuration; may be empty.
  std::string where;
  std::string message;
};

// One part that changes.
struct PlanChange {
  // "add", "change" or "remove", then what: "contract", "service",
  // "operator".
  std::string kind;
  // The part's id.
  std::string subject;
  // What differs, in words.
  std::string reason;

  bool operator==(const PlanChange&) const = default;
};

struct Plan {
  base::PlanId id;
  base::Revision base{0};
  std::string base_digest;
  ConfigDelta delta;
  std::vector<PlanChange> changes;
  base::OperatorId stated_by;
  std::string note;
  std::optional<base::Revision> rollback_to;
  // The id's text: JSON with all of the above, the share arithmetic and the
  // engines touched.
  std::string text;
};

// What the plan's arithmetic needs to know of the fleet.
struct FleetFacts {
  std::vector<TargetFact> targets;
  // How long an engine is out of service to load something else.
  double seconds_per_change = 30;
};

// Makes the plan that leads from `held` to `wanted`.
std::optional<Plan> MakePlan(const HeldConfiguration& held,
                             const Configuration& wanted,
                             const Statement& statement,
                             const base::OperatorId& stated_by,
                             const FleetFacts& fleet,
                             PlanFault* fault);

// Reads a stored plan; nothing when it is not whole. The id is computed from
// the text, so what was altered shows under another id.
std::optional<Plan> ReadPlan(std::string_view text);

// What differs, in words, one entry a part. Used by plans and tests.
std::vector<PlanChange> DescribeDelta(const ConfigDelta& delta);

// Goes back from `held`, undoing the deltas given newest last, to what was in
// force before them. Operators and keys stay as they are in `held`, so that
// a key that was withdrawn does not come back.
std::optional<Configuration> RollBack(const Configuration& held,
                                      const std::vector<ChainedDelta>& deltas);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_PLAN_H_
