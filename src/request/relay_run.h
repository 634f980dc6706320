// The steps of one request through the relay. Private to Relay.
#ifndef LYNXGLADE_REQUEST_RELAY_RUN_H_
#define LYNXGLADE_REQUEST_RELAY_RUN_H_

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "request/attempt.h"
#include "request/cost.h"
#include "request/relay.h"
#include "request/relay_delivery.h"
#include "request/request.h"
#include "request/target.h"

namespace lynxglade::request {

// The combined outcome of two attempts: kRan takes precedence over kUnknown,
// and kUnknown over kNotRun.
base::Outcome MergeOutcomes(base::Outcome a, base::Outcome b) noexcept;

// Processes one request. Used once, on one thread.
class RelayRun {
 public:
  // All outlive this object.
  RelayRun(const RelayHooks& hooks,
           const RelayLimits& limits,
           const Request& request,
           const CallerSink& sink);
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  RelayResult Run();

 private:
  // Admission and claim, before the first attempt. Returns false if the request
  // ended there.
  bool Start();
  bool BeginClaim();
  void FinishClaim();

  // One iteration: picks a target, runs an attempt and handles its report.
  void RunStep();
  bool StopBeforeAttempt();
  std::optional<Target> Pick();
  AttemptSpec MakeSpec(const Target& target) const;
  AttemptReport RunAttemptAt(const Target& target, const AttemptSpec& spec);
  // Corrects a report where it contradicts the delivered tokens.
  AttemptReport VerifyReport(const AttemptSpec& spec,
                             AttemptReport report) const;
  void NotifyHooks(const Target& target,
                   const AttemptSpec& spec,
                   const AttemptReport& report);

  void HandleReport(const Target& target, AttemptReport report);
  void Complete(AttemptReport report);
  void RetryOrRefuse(const Target& target, const AttemptReport& report);
  bool TryFreeReroute(const AttemptReport& report);
  void Refuse(RefusalReason reason,
              std::string message,
              std::optional<base::Duration> retry_after = std::nullopt);
  Cost EstimateCost() const;
  bool CallerDisconnected() const;
  // Whether EffectiveDeadline() has passed. Thread-safe.
  bool IsOverdue() const;
  // When the request fails as too late: the deadline, plus late_grace once its
  // answer has started.
  base::Time EffectiveDeadline() const;

  const RelayHooks& hooks_;
  const RelayLimits& limits_;
  const Request& request_;
  RelayDelivery delivery_;

  RelayResult result_;
  bool done_ = false;
  bool out_of_sequence_ = false;
  // Whether a token of the answer has arrived. Also read by the thread that
  // polls TokenSink::cancelled.
  std::atomic<bool> answer_started_{false};
  bool answer_complete_ = false;
  AdmissionDecision admission_;
  std::optional<Claim> claim_;
  base::Outcome outcome_ = base::Outcome::kNotRun;
  AttemptKind kind_ = AttemptKind::kWhole;
  std::string kv_transfer_params_;
  std::vector<base::TargetId> avoid_;
  std::optional<base::ModelVersion> version_;
  int free_reroutes_ = 0;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RELAY_RUN_H_
