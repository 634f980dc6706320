// Creates, lists and confirms plans; any instance can perform any step.
//
// Pending plans are stored in the key-value service under their digest, with a
// lease. Confirming a plan is one compare-and-swap of the configuration head
// against the plan's base revision. All methods block on the service.
#ifndef LYNXGLADE_VERSION_PLAN_SERVICE_H_
#define LYNXGLADE_VERSION_PLAN_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "connection/key_value.h"
#include "version/config_store.h"
#include "version/config_tracker.h"
#include "version/operator_access.h"
#include "version/plan.h"

namespace lynxglade::version {

// Result of a confirmation.
enum class ConfirmOutcome {
  // This confirmation put the plan into force.
  kInForce,
  // An earlier confirmation put the plan into force.
  kAlreadyInForce,
  // Another change was committed on the plan's base; the plan is obsolete.
  kConflict,
  kUnknownPlan,
  kNotPermitted,
  // The key-value service was unavailable; this confirmation changed nothing.
  kUnavailable,
  // A write was sent but its response was lost. Confirm again to find out;
  // the plan cannot take effect twice.
  kUnknown,
  // The key-value service holds an older configuration than this instance, or
  // a different history.
  kServiceBehind,
};
std::string_view ToString(ConfirmOutcome outcome) noexcept;

struct ConfirmResult {
  ConfirmOutcome outcome = ConfirmOutcome::kUnavailable;
  // Revision of the plan, when it is in force.
  base::Revision revision{0};
  std::string message;
  // On conflict: JSON audit records of changes since the plan's base.
  std::vector<std::string> since;
};

struct PlanServiceHooks {
  // The fleet as seen by this instance; must not block.
  std::function<FleetFacts()> fleet;
  // Wall clock for audit records, in milliseconds since the Unix epoch.
  std::function<std::int64_t()> wall_millis;
  // Called after this instance wrote a snapshot; may be empty.
  std::function<void(const ConfigSnapshot&)> on_snapshot;
  // Time to live of a pending plan.
  base::Duration plan_ttl = std::chrono::hours(1);
};

// The fault for a plan that does not exist, or that the caller may not see: the
// two must not be told apart.
PlanFault UnknownPlanFault(const base::PlanId& id);

// Thread-safe.
class PlanService {
 public:
  // All references must outlive this object.
  PlanService(const connection::KeyValue& service,
              const ConfigStore& store,
              ConfigTracker& tracker,
              PlanServiceHooks hooks);
  PlanService(const PlanService&) = delete;
  PlanService& operator=(const PlanService&) = delete;

  // Makes a plan against the newest configuration and stores it.
  std::optional<Plan> Create(const ChangeRequest& request,
                             const Caller& caller,
                             PlanFault* fault);
  std::optional<Plan> Find(const base::PlanId& id, PlanFault* fault) const;
  // Pending plans, at most kMaxListedPlans.
  std::optional<std::vector<Plan>> List(PlanFault* fault) const;
  ConfirmResult Confirm(const base::PlanId& id, const Caller& caller);

  // The configuration at a past revision, as far as deltas are retained.
  // Operators, and the key hashes of contracts that still exist, are the
  // current ones.
  std::optional<Configuration> ConfigurationAt(base::Revision revision,
                                               PlanFault* fault) const;
  // Writes this instance's configuration back to a key-value service that lost
  // it.
  ConfirmResult Restore(const Caller& caller);

 private:
  bool Refresh(PlanFault* fault) const;
  std::optional<Configuration> DesiredConfiguration(
      const ChangeRequest& request,
      PlanFault* fault) const;
  bool Save(const Plan& plan, PlanFault* fault) const;
  // Determines from the stored head whether the plan's outcome is already
  // decided; nullopt when the plan can still be committed or `last_error` is
  // set. `known_before_read` is the newest known revision before the head was
  // read.
  std::optional<ConfirmResult> CheckDecided(const Plan& plan,
                                            const StoredHead& stored,
                                            base::Revision known_before_read,
                                            StoreError* last_error) const;
  ConfirmResult CommitPlan(const Plan& plan, const Caller& caller);
  ConfirmResult OnCommitted(const Plan& plan);
  void WriteSnapshotIfDue() const;
  std::string MakeAuditRecord(const Plan& plan, const Caller& caller) const;

  const connection::KeyValue& service_;
  const ConfigStore& store_;
  ConfigTracker& tracker_;
  const PlanServiceHooks hooks_;
};

inline constexpr std::int64_t kMaxListedPlans = 64;

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_PLAN_SERVICE_H_
