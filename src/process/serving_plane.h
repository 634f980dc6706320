// The data path: combines routing, admission, retries, quarantine and outlier
// ejection from src/request around one relay, and supplies them with the
// current targets and configuration.
//
// Serving depends on the targets and in-memory state only, except that a
// non-idempotent request is claimed in the key-value service.
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
  std::function<request::ClaimDecision(const request::Request&)> claim_begin;
  std::function<
      void(const request::Claim&, base::Outcome, const request::Answer*)>
      claim_finish;
  // Shares a quarantine entry with the other instances.
  std::function<void(const ViewItem&)> publish;
  // Number of entry instances that use the same targets, including this one.
  std::function<std::size_t()> entry_instances;
};

// Requests to a service and their estimated cost since the start; input of the
// role planner.
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

  // Blocks until the request is answered or rejected.
  request::RelayResult Serve(const request::Request& request,
                             const request::CallerSink& sink);

  // Applies the admission shares of a newly accepted configuration.
  void OnConfiguration(const version::Configuration& configuration);
  // Call a few times a second. Publishes target changes, reconciles ejections
  // and quarantine, and updates the admission capacity of each service.
  void Refresh();
  // Applies a load report; a restart found by it is reported to quarantine.
  void OnLoad(const connection::LoadReport& report);
  // Merges a quarantine entry of another instance.
  void OnQuarantineView(const ViewItem& item);
  // Rejects new requests; those queued for admission are still served.
  void Stop();

  // GET /v1/admin/quarantine, DELETE /v1/admin/quarantine/<hash>.
  connection::ApiAnswer HandleQuarantine(const connection::ApiCall& call);
  std::map<base::ServiceName, Demand> DemandByService() const;
  // Requests queued for admission, and requests admitted and not yet finished.
  std::size_t waiting() const;
  int running() const;

 private:
  struct Attempt;

  request::RelayHooks MakeRelayHooks(const ServingHooks& hooks);
  request::PickResult Pick(const request::PickQuery& query);
  request::AdmissionDecision Admit(const request::Request& request,
                                   const std::function<bool()>& caller_gone);
  std::optional<request::Refusal> CheckQuarantine(
      const request::Request& request);
  request::RetryDecision AllowRetry(const request::RetryQuery& query);
  bool WantsSplit(const request::Request& request);
  request::AttemptReport Run(const request::AttemptSpec& spec,
                             const request::TokenSink& sink);
  void OnAttemptStart(const request::Target& target,
                      const request::AttemptSpec& spec);
  void OnAttemptEnd(const request::Target& target,
                    const request::AttemptSpec& spec,
                    const request::AttemptReport& report);
  void UpdateTargetHealth(const request::Target& target,
                          const request::AttemptReport& report);
  void RecordRefusal(const request::Target& target,
                     const request::AttemptReport& report);
  std::optional<request::RouteChoice> Route(const request::TargetIndex& index,
                                            const request::PickQuery& query,
                                            request::RequestedRole role,
                                            request::RouteError* error);
  void RecordDemand(const request::Request& request, const request::Cost& cost);

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
  // Declared last, because its hooks use the members above.
  request::Relay relay_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SERVING_PLANE_H_
