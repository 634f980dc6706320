#include "request/target.h"

namespace lynxglade::request {

std::string_view ToString(EngineRole role) noexcept {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kPlain:
      break;
  }
  return "plain";
}

bool ParseEngineRole(std::string_view text, EngineRole* role) noexcept {
  for (EngineRole candidate : {EngineRole::kMixed, EngineRole::kPrefill,
                               EngineRole::kDecode, EngineRole::kPlain}) {
    if (text == ToString(candidate)) {
      *role = candidate;
      return true;
    }
  }
  return false;
}

std::string_view ToString(TargetState state) noexcept {
  switch (state) {
    case TargetState::kServing:
      return "serving";
    case TargetState::kDraining:
      return "draining";
    case TargetState::kLeaving:
      return "leaving";
    case TargetState::kChanging:
      return "changing";
    case TargetState::kEjected:
      break;
  }
  return "ejected";
}

}  // namespace lynxglade::request
