#include "request/passthrough/goal_admission.h"

namespace lynxglade::request::passthrough {

bool MissesGoal(const Outlook& outlook,
                base::Duration goal,
                const GoalAdmissionOptions& options) noexcept {
  return goal > base::Duration::zero() &&
         outlook.wait > options.most_wait_of_goal * goal;
}

bool IsHopeless(const Outlook& outlook,
                base::Duration left,
                const GoalAdmissionOptions& options) noexcept {
  return outlook.expected > left ||
         outlook.wait > options.most_wait_of_time_left * left;
}

}  // namespace lynxglade::request::passthrough
