#include "process/usage/report_decision.h"

namespace lynxglade::process::usage {

std::string_view ToString(ReportDecision decision) noexcept {
  switch (decision) {
    case ReportDecision::kWait:
      return "wait";
    case ReportDecision::kReport:
      return "report";
    case ReportDecision::kMissed:
      break;
  }
  return "missed";
}

ReportDecision DecideReport(base::Duration since_end,
                            base::Duration due,
                            double missing_part,
                            const ReportTiming& timing) noexcept {
  if (since_end >= due) {
    return ReportDecision::kMissed;
  }
  if (since_end < timing.settle_time) {
    return ReportDecision::kWait;
  }
  const base::Duration left = due - since_end;
  const bool ready =
      missing_part <= timing.negligible_part ||
      (missing_part <= timing.tolerance && left <= timing.repeat_time) ||
      left <= timing.call_time;
  return ready ? ReportDecision::kReport : ReportDecision::kWait;
}

}  // namespace lynxglade::process::usage
