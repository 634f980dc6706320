// What is known of a request's run.
#ifndef LYNXGLADE_BASE_OUTCOME_H_
#define LYNXGLADE_BASE_OUTCOME_H_

#include <string_view>

namespace lynxglade::base {

// kNotRun is a promise: no target started the work. It may be claimed only
// when every attempt either never left this process or was refused by its
// target with the target's own word.
enum class Outcome {
  kNotRun,
  kRan,
  kUnknown,
};

// "not_run", "ran" or "unknown", as callers and logs see it.
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
