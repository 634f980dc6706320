// Names of the quarantine's states in logs and metrics.
#include "request/quarantine.h"

namespace lynxglade::request {

bool CanTryOtherTarget(QuarantineDenial denial) noexcept {
  return denial == QuarantineDenial::kTargetHasSuspect ||
         denial == QuarantineDenial::kTargetCrashedLately;
}

std::string_view ToString(QuarantineChange change) noexcept {
  switch (change) {
    case QuarantineChange::kSuspected:
      return "suspected";
    case QuarantineChange::kQuarantined:
      return "quarantined";
    case QuarantineChange::kExtended:
      return "extended";
    case QuarantineChange::kCleared:
      return "cleared";
    case QuarantineChange::kReleased:
      return "released";
    case QuarantineChange::kLifted:
      return "lifted";
    case QuarantineChange::kExpired:
      break;
  }
  return "expired";
}

std::string_view ToString(QuarantineDenial denial) noexcept {
  switch (denial) {
    case QuarantineDenial::kQuarantined:
      return "quarantined";
    case QuarantineDenial::kEvidencePending:
      return "evidence_pending";
    case QuarantineDenial::kSuspectRunning:
      return "suspect_running";
    case QuarantineDenial::kSuspectElsewhere:
      return "suspect_elsewhere";
    case QuarantineDenial::kTargetHasSuspect:
      return "target_has_suspect";
    case QuarantineDenial::kTargetCrashedLately:
      break;
  }
  return "target_crashed_lately";
}

}  // namespace lynxglade::request
