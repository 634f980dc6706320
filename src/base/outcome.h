// Whether a request is known to have been executed by a target.
#ifndef LYNXGLADE_BASE_OUTCOME_H_
#define LYNXGLADE_BASE_OUTCOME_H_

#include <string_view>

namespace lynxglade::base {

// kNotRun guarantees that no target started the work. It may be used only if
// each attempt was either not sent or rejected by the target itself.
enum class Outcome {
  kNotRun,
  kRan,
  kUnknown,
};

// "not_run", "ran" or "unknown", as in logs and in answers to callers.
constexpr std::string_view ToString(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_OUTCOME_H_
