// What calls to the platform that only the holder of the duties may make have
// in common.
#ifndef LYNXGLADE_PROCESS_DUTIES_DUTY_CALL_H_
#define LYNXGLADE_PROCESS_DUTIES_DUTY_CALL_H_

#include <string_view>

#include "base/ids.h"
#include "base/units.h"

namespace lynxglade::process::duties {

// Identifies the caller to the platform.
struct Credentials {
  base::InstanceId holder;
  base::FencingToken token;
};

enum class CallResult {
  kAccepted,
  // More calls than the platform takes; nothing was done.
  kThrottled,
  // The platform cannot do it at the moment; nothing was done.
  kUnavailable,
  // The call is invalid, and repeating it is useless.
  kRejected,
  // The platform has seen a higher fencing token.
  kFenced,
  // No answer: the call may have taken effect, or may do so later.
  kUnknown,
};

constexpr std::string_view ToString(CallResult result) noexcept {
  switch (result) {
    case CallResult::kAccepted:
      return "accepted";
    case CallResult::kThrottled:
      return "throttled";
    case CallResult::kUnavailable:
      return "unavailable";
    case CallResult::kRejected:
      return "rejected";
    case CallResult::kFenced:
      return "fenced";
    case CallResult::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace lynxglade::process::duties

#endif  // LYNXGLADE_PROCESS_DUTIES_DUTY_CALL_H_
