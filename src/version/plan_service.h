// State, look at, confirm: the steps of a plan, on any instance.
//
// Plans wait in the key-value service under their digest, with a lease. A
// confirmation is one compare-and-swap of the configuration's head against
// the plan's base revision. Everything here blocks on the service.
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

// What became of a confirmation.
enum class ConfirmOutcome {
  // The plan is in force now.
  kInForce,
  // It was already, by an earlier confirmation.
  kAlreadyInForce,
  // Another change came first; the plan can never take effect.
  kConflict,
  kUnknownPlan,
  kNotPermitted,
  // This confirmation sent nothing: the service could not be reached.
  kUnavailable,
  // Sent, and its answer lost; confirm again to learn the truth.
  kUnknown,
  // The service holds an older configuration than this instance, or another
  // history; nothing was sent.
  kServiceBehind,
};
std::string_view ToString(ConfirmOutcome outcome) noexcept;

struct ConfirmResult {
  ConfirmOutcome outcome = ConfirmOutcome::kUnavailable;
  // In force: the revision that the plan became.
  base::Revision revision{0};
  std::string message;
  // Conflict: audit records, JSON each, of what came since the plan's base.
  std::vector<std::string> since;
};

struct PlanServiceHooks {
  // The fleet as this instance sees it; must not block.
  std::function<FleetFacts()> fleet;
  // For the audit trail; base::WallMillis in the daemon.
  std::function<std::int64_t()> wall_millis;
  // This instance wrote a snapshot of the whole; may be empty.
  std::function<void(const HeldConfiguration&)> on_snapshot;
  // How long a plan waits for its confirmation.
  base::Duration plan_ttl = std::chrono::hours(1);
};

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

  // Makes a plan on the newest configuration and stores it.
  std::optional<Plan> State(const Statement& statement,
                            const Caller& caller,
                            PlanFault* fault);
  std::optional<Plan> Find(const base::PlanId& id, PlanFault* fault) const;
  // Plans that wait, at most kMaxListedPlans.
  std::optional<std::vector<Plan>> List(PlanFault* fault) const;
  ConfirmResult Confirm(const base::PlanId& id, const Caller& caller);

  // What was in force at a revision, within the deltas kept.
  std::optional<Configuration> ConfigurationAt(base::Revision revision,
                                               PlanFault* fault) const;
  // Puts the held configuration back into a service that lost it.
  ConfirmResult Restore(const Caller& caller);

 private:
  bool Refresh(PlanFault* fault) const;
  std::optional<Configuration> Wanted(const Statement& statement,
                                      PlanFault* fault) const;
  bool Save(const Plan& plan, PlanFault* fault) const;
  // Whether the plan's revision is taken, and by whom. `heard_before` is the
  // newest revision heard of before the head was read.
  std::optional<ConfirmResult> Settled(const Plan& plan,
                                       const StoredHead& stored,
                                       base::Revision heard_before,
                                       StoreError* last_error) const;
  ConfirmResult Swap(const Plan& plan, const Caller& caller);
  ConfirmResult TakenEffect(const Plan& plan);
  void SnapshotWhenDue() const;
  std::string AuditOf(const Plan& plan, const Caller& caller) const;

  const connection::KeyValue& service_;
  const ConfigStore& store_;
  ConfigTracker& tracker_;
  const PlanServiceHooks hooks_;
};

inline constexpr std::int64_t kMaxListedPlans = 64;

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_PLAN_SERVICE_H_
