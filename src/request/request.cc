#include "request/request.h"

namespace lynxglade::request {

namespace {

struct ReasonRow {
  std::string_view name;
  int http_status;
};

// Name and HTTP status of a reason.
ReasonRow Describe(RefusalReason reason) noexcept {
  switch (reason) {
    case RefusalReason::kMalformedBody:
      return {"malformed_body", 400};
    case RefusalReason::kBodyTooLarge:
      return {"body_too_large", 413};
    case RefusalReason::kBadHeader:
      return {"bad_header", 400};
    case RefusalReason::kUnauthenticated:
      return {"unauthenticated", 401};
    case RefusalReason::kUnknownContract:
      return {"unknown_contract", 403};
    case RefusalReason::kUnknownModel:
      return {"unknown_model", 404};
    case RefusalReason::kUnknownService:
      return {"unknown_service", 404};
    case RefusalReason::kNotEntitled:
      return {"not_entitled", 403};
    case RefusalReason::kDeadlinePassed:
      return {"deadline_passed", 504};
    case RefusalReason::kDeadlineHopeless:
      return {"deadline_hopeless", 503};
    case RefusalReason::kQueueFull:
      return {"queue_full", 503};
    case RefusalReason::kQueueTimeout:
      return {"queue_timeout", 503};
    case RefusalReason::kShed:
      return {"shed", 503};
    case RefusalReason::kOverloaded:
      return {"overloaded", 503};
    case RefusalReason::kNoTarget:
      return {"no_target", 503};
    case RefusalReason::kRetryBudget:
      return {"retry_budget", 503};
    case RefusalReason::kAttemptsExhausted:
      return {"attempts_exhausted", 502};
    case RefusalReason::kQuarantined:
      return {"quarantined", 422};
    case RefusalReason::kClaimUnavailable:
      return {"claim_unavailable", 503};
    case RefusalReason::kAlreadyClaimed:
      return {"already_claimed", 409};
    case RefusalReason::kOutcomeUnknown:
      return {"outcome_unknown", 502};
    case RefusalReason::kAnswerIncomplete:
      return {"answer_incomplete", 502};
    case RefusalReason::kTargetRejected:
      return {"target_rejected", 400};
    case RefusalReason::kCallerGone:
      return {"caller_gone", 499};
    case RefusalReason::kStopping:
      return {"stopping", 503};
    case RefusalReason::kNotReady:
      return {"not_ready", 503};
  }
  return {"internal", 500};
}

}  // namespace

std::string_view ToString(RefusalReason reason) noexcept {
  return Describe(reason).name;
}

int HttpStatus(RefusalReason reason) noexcept {
  return Describe(reason).http_status;
}

}  // namespace lynxglade::request
