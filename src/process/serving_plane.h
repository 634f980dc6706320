// The serving plane: the decisions of src/request put together around one
// relay, and fed with what the process knows.
//
// It needs targets and its own memory only. The key-value service is asked for
// one thing, the claim of a non-idempotent request.
#ifndef LYNXGLADE_PROCESS_SERVING_PLANE_H_
#define LYNXGLADE_PROCESS_SERVING_PLANE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/api_call.h"
#include "process/target_registry.h"
#include "process/view_item.h"
#include "request/admission.h"
#include "request/cost.h"
#include "request/in_flight.h"
#include "request/outlier_ejector.h"
#include "request/quarantine.h"
#include "request/relay.h"
#include "request/retry_budget.h"
#include "request/router.h"
#include "version/serving_configuration.h"

namespace lynxglade::process {

struct ServingOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  request::RouterOptions router;
  request::CapacityOptions capacity;
  request::RetryPolicyOptions retry;
  request::RelayLimits limits;
};

// All must be thread-safe.
struct ServingHooks {
  base::Clock clock;
  base::RandomSource random;
  request::RunAttempt run;
  request::CancelAttempt cancel;
  std::function<request::ClaimVerdict(const request::Request&)> claim_begin;
  std::function<
      void(const request::Claim&, base::Outcome, const request::Answer*)>
      claim_finish;
  // Tells other instances a quarantine mark.
  std::function<void(const ViewItem&)> publish;
  // Entry instances that share the targets with this one, itself included.
  std::function<std::size_t()> entry_instances;
};

// What was asked of a service lately; for the role planner.
struct Demand {
  std::uint64_t requests = 0;
  base::Tokens prefill{0};
  base::Tokens decode{0};
  base::Worth worth{0};
};

// Thread-safe. `registry` and `metrics` must outlive it.
class ServingPlane {
 public:
  ServingPlane(ServingOptions options,
               ServingHooks hooks,
               TargetRegistry& registry,
               base::Metrics& metrics);
  ServingPlane(const ServingPlane&) = delete;
  ServingPlane& operator=(const ServingPlane&) = delete;

  // Blocks until the request is answered or refused.
  request::RelayResult Serve(const request::Request& request,
                             const request::CallerSink& sink);

  // Takes a new accepted configuration's shares.
  void OnConfiguration(const version::Configuration& configuration);
  // Call a few times a second: capacities follow the targets.
  void Refresh();
  // A load report came; tells quarantine whether the target crashed.
  void OnLoad(const connection::LoadReport& report);
  // A quarantine mark from another instance.
  void OnQuarantineView(const ViewItem& item);
  // Refuses what is not queued yet.
  void Stop();

  // GET /v1/admin/quarantine, DELETE /v1/admin/quarantine/<hash>.
  connection::ApiAnswer HandleQuarantine(const connection::ApiCall& call);
  // Requests and tokens by service since the start.
  std::map<base::ServiceName, Demand> DemandByService() const;
  std::size_t waiting() const;
  int running() const;

 private:
  struct Attempt;

  request::RelayHooks MakeRelayHooks(const ServingHooks& hooks);
  request::PickResult Pick(const request::PickQuery& query);
  request::AdmissionVerdict Admit(const request::Request& request,
                                  const std::function<bool()>& gone);
  std::optional<request::Refusal> CheckQuarantine(
      const request::Request& request);
  request::RetryVerdict AllowRetry(const request::RetryQuery& query);
  bool WantsSplit(const request::Request& request);
  request::AttemptReport Run(const request::AttemptOrder& order,
                             const request::TokenSink& sink);
  void OnAttemptStart(const request::Target& target,
                      const request::AttemptOrder& order);
  void OnAttemptEnd(const request::Target& target,
                    const request::AttemptOrder& order,
                    const request::AttemptReport& report);
  void JudgeTarget(const request::Target& target,
                   const request::AttemptReport& report);
  void NoteRefusal(const request::Target& target,
                   const request::AttemptReport& report);
  std::optional<request::RouteChoice> Route(const request::TargetIndex& index,
                                            const request::PickQuery& query,
                                            request::RoleWanted role,
                                            request::RouteError* error);
  void AddDemand(const request::Request& request, const request::Cost& cost);

  const ServingOptions options_;
  const base::Clock clock_;
  const request::RunAttempt run_;
  const std::function<std::size_t()> entry_instances_;
  TargetRegistry& registry_;
  base::Metrics& metrics_;
  request::Router router_;
  request::Admission admission_;
  request::CostEstimator costs_;
  request::RetryBudget retry_budget_;
  request::RetryPolicy retry_policy_;
  request::Quarantine quarantine_;
  request::OutlierEjector ejector_;
  mutable std::mutex demand_mutex_;
  std::map<base::ServiceName, Demand> demand_;
  // Last: its hooks use all of the above.
  request::Relay relay_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SERVING_PLANE_H_
