// Decides when the usage of a window is reported.
#ifndef LYNXGLADE_PROCESS_USAGE_REPORT_DECISION_H_
#define LYNXGLADE_PROCESS_USAGE_REPORT_DECISION_H_

#include <string_view>

#include "base/time.h"

namespace lynxglade::process::usage {

struct ReportTiming {
  // After the end of a window, before it is reported at all: counts are still
  // on their way then.
  base::Duration settle_time = std::chrono::milliseconds(1500);
  // A window of which little is missing is reported when this is left before it
  // is due, so that the call can be repeated.
  base::Duration repeat_time = std::chrono::milliseconds(3000);
  // Left for one call. A window of which more is missing than the platform
  // tolerates is waited for until then: a report that is off counts as little
  // as none.
  base::Duration call_time = std::chrono::milliseconds(700);
  // A smaller part of the counts may be missing: waiting for it would cost
  // more safety than it gains precision.
  double negligible_part = 0.01;
  // Relative error that the platform tolerates.
  double tolerance = 0.05;
};

enum class ReportDecision {
  // Too early, or counts are missing that may still arrive.
  kWait,
  kReport,
  // Too late to be accepted as in time.
  kMissed,
};
std::string_view ToString(ReportDecision decision) noexcept;

// `since_end` is the time since the end of the window, `due` the time after it
// by which the report must have arrived, and `missing_part` the part of the
// counts that is probably missing.
ReportDecision DecideReport(base::Duration since_end,
                            base::Duration due,
                            double missing_part,
                            const ReportTiming& timing) noexcept;

}  // namespace lynxglade::process::usage

#endif  // LYNXGLADE_PROCESS_USAGE_REPORT_DECISION_H_
