// A validated request of a caller, and the reasons for refusing one.
#ifndef LYNXGLADE_REQUEST_REQUEST_H_
#define LYNXGLADE_REQUEST_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "base/units.h"

namespace lynxglade::request {

// Why a caller gets an error instead of an answer. Counted by
// lynxglade_refusals_total{reason=...}.
enum class RefusalReason {
  kMalformedBody,
  kBodyTooLarge,
  kBadHeader,
  kUnauthenticated,
  kUnknownContract,
  kUnknownModel,
  kUnknownService,
  kNotEntitled,
  kDeadlinePassed,
  kDeadlineHopeless,
  kQueueFull,
  kQueueTimeout,
  kShed,
  kOverloaded,
  kNoTarget,
  kRetryBudget,
  kAttemptsExhausted,
  kQuarantined,
  kClaimUnavailable,
  kAlreadyClaimed,
  kOutcomeUnknown,
  kAnswerIncomplete,
  kTargetRejected,
  kCallerGone,
  kStopping,
  kNotReady,
};

// The name for callers, logs and metrics, in lower_snake_case.
std::string_view ToString(RefusalReason reason) noexcept;
// HTTP status for the reason.
int HttpStatus(RefusalReason reason) noexcept;

// The error that a caller gets instead of an answer.
struct Refusal {
  RefusalReason reason = RefusalReason::kNoTarget;
  base::Outcome outcome = base::Outcome::kUnknown;
  std::string message;
  // When to retry, if a retry may succeed.
  std::optional<base::Duration> retry_after;
  // Error message of the target. It may quote the request, so it is only for
  // the caller and must not be logged.
  std::string target_message = {};
};

// 0 is the most urgent.
using Priority = base::StrongNumber<struct PriorityTag, int>;

// A request that passed the checks of the caller front. Immutable from then on.
struct Request {
  base::RequestId id;
  base::ContractId contract;
  base::ServiceName service;
  base::ModelName model;  // empty for plain services
  base::Worth worth{1.0};
  Priority priority{5};
  base::Time arrived{};
  base::Time deadline{};
  bool stream = false;
  bool non_idempotent = false;
  base::IdempotencyKey idempotency_key;

  // Estimates from before the run, for cost and routing.
  base::Tokens prompt_tokens{0};
  base::Tokens max_output_tokens{0};

  // Hash of what the target would run: model and messages, excluding ids.
  std::uint64_t content_hash = 0;
  // Hash of the leading part of the prompt, for prefix cache affinity; 0: none.
  std::uint64_t prefix_hash = 0;

  // JSON body for engines, without the per-attempt members, or the raw body for
  // plain services.
  std::string body;
  // Plain services only.
  std::string method;
  std::string path;
  std::string content_type;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_REQUEST_H_
