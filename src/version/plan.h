// A plan describes what an operator's change request would change and the
// estimated cost. Making a plan has no side effects.
//
// The plan id is the SHA-256 of its text, which contains the base revision,
// the changes with their reasons, and the share arithmetic. Confirming an id
// therefore confirms exactly that content.
#ifndef LYNXGLADE_VERSION_PLAN_H_
#define LYNXGLADE_VERSION_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "version/change_request.h"
#include "version/config_delta.h"
#include "version/config_head.h"
#include "version/share_arithmetic.h"

namespace lynxglade::version {

enum class PlanError {
  kNone,
  // The request or the resulting configuration is invalid; see the fault.
  kInvalidRequest,
  // The shares on a service would sum to more than 1.
  kOverCommitted,
  // The request leaves the configuration unchanged.
  kNothingChanges,
  // The change would remove the last fleet operator that has a key.
  kNoFleetOperator,
  // The change exceeds the size limits of the key-value service; split it.
  kTooLarge,
  // The rollback target is unknown or no longer retained.
  kNoSuchRevision,
  kNotPermitted,
  kUnknownPlan,
  // The key-value service is unavailable.
  kUnavailable,
  // This instance has no configuration yet, is behind, or disagrees with the
  // key-value service.
  kNotReady,
};
std::string_view ToString(PlanError error) noexcept;

struct PlanFault {
  PlanError error = PlanError::kNone;
  // JSON pointer into the request or the configuration; may be empty.
  std::string where;
  std::string message;
};

// One changed part of the configuration.
struct PlanChange {
  // "add", "change" or "remove", followed by "contract", "service" or
  // "operator"; for example "add contract".
  std::string kind;
  std::string subject;
  // Human-readable difference.
  std::string reason;

  bool operator==(const PlanChange&) const = default;
};

struct Plan {
  base::PlanId id;
  base::Revision base{0};
  std::string base_digest;
  ConfigDelta delta;
  std::vector<PlanChange> changes;
  base::OperatorId requested_by;
  std::string note;
  std::optional<base::Revision> rollback_to;
  // Canonical JSON that the id is computed from: the fields above, the share
  // arithmetic and the engines to reload.
  std::string text;
};

// Fleet state that the plan arithmetic needs.
struct FleetFacts {
  std::vector<TargetFact> targets;
  // Time an engine is out of service while it loads another model.
  double seconds_per_reload = 30;
};

// Makes the plan that changes `current` into `desired`. Returns nullopt and
// fills `fault` when the change is invalid.
std::optional<Plan> MakePlan(const ConfigSnapshot& current,
                             const Configuration& desired,
                             const ChangeRequest& request,
                             const base::OperatorId& requested_by,
                             const FleetFacts& fleet,
                             PlanFault* fault);

// Decodes a stored plan; nullopt when the text is malformed. The id is
// computed from the text, so an altered plan gets a different id.
std::optional<Plan> DecodePlan(std::string_view text);

// Describes a delta in words, one entry per changed part.
std::vector<PlanChange> DescribeDelta(const ConfigDelta& delta);

// Undoes `deltas` (ordered oldest to newest) on `current`. Operators, and the
// key hashes of contracts that still exist, are kept from `current`, so that a
// rollback does not restore a revoked key. Returns nullopt when the deltas do
// not apply.
std::optional<Configuration> RollBack(const Configuration& current,
                                      const std::vector<ChainedDelta>& deltas);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_PLAN_H_
