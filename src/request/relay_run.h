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

// What is known after two attempts: the more certain that work was done, the
// stronger.
base::Outcome MergeOutcomes(base::Outcome a, base::Outcome b) noexcept;

// One request, from admission to its end. Used once, on one thread.
class RelayRun {
 public:
  // All outlive this object.
  RelayRun(const RelayHooks& hooks,
           const RelayLimits& limits,
           const Request& request,
           const CallerSink& sink);
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  RelayResult Go();

 private:
  // Before the first attempt; false when the request ended there.
  bool Enter();
  bool BeginClaim();
  void FinishClaim();

  // One turn of the loop: pick, attempt, judge.
  void Step();
  bool StopBeforeAttempt();
  std::optional<Target> Pick();
  AttemptOrder MakeOrder(const Target& target) const;
  AttemptReport RunOne(const Target& target, const AttemptOrder& order);
  // Corrects a report by what the delivery saw.
  AttemptReport Check(const AttemptOrder& order, AttemptReport report) const;
  void TellPeers(const Target& target,
                 const AttemptOrder& order,
                 const AttemptReport& report);

  void Judge(const Target& target, AttemptReport report);
  void Complete(AttemptReport report);
  void RetryOrGiveUp(const Target& target, const AttemptReport& report);
  bool FreeReroute(const AttemptReport& report);
  void GiveUp(RefusalReason reason,
              std::string message,
              std::optional<base::Duration> retry_after = std::nullopt);
  Cost EstimateCost() const;
  bool Cancelled() const;
  // Whether the time for the answer to begin or, once begun, to end is over.
  // Thread-safe.
  bool Overdue() const;
  // When the request is given up, as things stand.
  base::Time Limit() const;

  const RelayHooks& hooks_;
  const RelayLimits& limits_;
  const Request& request_;
  RelayDelivery delivery_;

  RelayResult result_;
  bool done_ = false;
  bool misfit_ = false;
  // A token of the answer has come; read by the thread that watches attempts.
  std::atomic<bool> begun_{false};
  bool whole_ = false;
  AdmissionVerdict admission_;
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
