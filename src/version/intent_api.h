// Administration API for plans, configuration, contracts and audit records. The
// paths are documented in docs/OPERATIONS.md, "Administration API".
#ifndef LYNXGLADE_VERSION_INTENT_API_H_
#define LYNXGLADE_VERSION_INTENT_API_H_

#include <functional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/api_call.h"
#include "version/config_gossip.h"
#include "version/config_store.h"
#include "version/config_tracker.h"
#include "version/operator_access.h"
#include "version/plan_service.h"

namespace lynxglade::version {

struct IntentApiHooks {
  base::Clock clock;
  // Last published configuration revision of every instance.
  std::function<std::vector<InstanceRevision>()> instances;
};

// Thread-safe; blocks on the key-value service.
class IntentApi {
 public:
  // All references must outlive this object. Counters:
  // lynxglade_plans_total{result}, lynxglade_confirms_total{result}.
  IntentApi(const OperatorAccess& access,
            PlanService& plans,
            const ConfigStore& store,
            const ConfigTracker& tracker,
            IntentApiHooks hooks,
            base::Metrics& metrics);
  IntentApi(const IntentApi&) = delete;
  IntentApi& operator=(const IntentApi&) = delete;

  // Authenticates the operator. Handles paths below /v1/admin/plans,
  // /v1/admin/config, /v1/admin/contracts and /v1/admin/audit.
  connection::ApiAnswer Handle(const connection::ApiCall& call) const;

 private:
  using Answer = connection::ApiAnswer;
  using Call = connection::ApiCall;

  Answer HandlePlans(const Call& call, const Caller& caller) const;
  Answer CreatePlan(const Call& call, const Caller& caller) const;
  Answer ListPlans(const Caller& caller) const;
  Answer ShowPlan(const base::PlanId& id, const Caller& caller) const;
  Answer Confirm(const base::PlanId& id, const Caller& caller) const;
  Answer HandleConfig(const Call& call, const Caller& caller) const;
  Answer ShowConfig(const Call& call, const Caller& caller) const;
  Answer ShowStatus() const;
  Answer Restore(const Caller& caller) const;
  Answer ShowContracts(const Caller& caller) const;
  Answer ShowAudit(const Call& call, const Caller& caller) const;
  Answer ConfirmAnswer(const ConfirmResult& result, const Caller& caller) const;

  const OperatorAccess& access_;
  PlanService& plans_;
  const ConfigStore& store_;
  const ConfigTracker& tracker_;
  const IntentApiHooks hooks_;
  base::Metrics& metrics_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_INTENT_API_H_
