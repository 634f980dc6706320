#include "request/attempt.h"

#include <algorithm>
#include <array>

namespace lynxglade::request {

namespace {

constexpr std::array kRefusals = {
    TargetRefusal::kDraining, TargetRefusal::kOverloaded,
    TargetRefusal::kChanging, TargetRefusal::kNotLoaded,
    TargetRefusal::kBadRequest};

}  // namespace

std::string_view ToString(AttemptEnd end) noexcept {
  switch (end) {
    case AttemptEnd::kWhole:
      return "whole";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kConnectFailed:
      return "connect_failed";
    case AttemptEnd::kSendFailed:
      return "send_failed";
    case AttemptEnd::kReset:
      return "reset";
    case AttemptEnd::kTruncated:
      return "truncated";
    case AttemptEnd::kTimeout:
      return "timeout";
    case AttemptEnd::kCrossed:
      return "crossed";
    case AttemptEnd::kCancelledByCaller:
      return "cancelled_by_caller";
    case AttemptEnd::kBadAnswer:
      break;
  }
  return "bad_answer";
}

std::string_view ToString(TargetRefusal refusal) noexcept {
  switch (refusal) {
    case TargetRefusal::kNone:
      return "none";
    case TargetRefusal::kDraining:
      return "draining";
    case TargetRefusal::kOverloaded:
      return "overloaded";
    case TargetRefusal::kChanging:
      return "changing";
    case TargetRefusal::kNotLoaded:
      return "not_loaded";
    case TargetRefusal::kBadRequest:
      return "bad_request";
    case TargetRefusal::kHeldBack:
      return "held_back";
    case TargetRefusal::kOther:
      break;
  }
  return "other";
}

TargetRefusal ParseTargetRefusal(std::string_view code) noexcept {
  const auto it = std::ranges::find_if(
      kRefusals, [code](TargetRefusal r) { return ToString(r) == code; });
  return it == kRefusals.end() ? TargetRefusal::kOther : *it;
}

bool NothingWasSent(const AttemptReport& report) noexcept {
  return report.end == AttemptEnd::kConnectFailed ||
         report.refusal == TargetRefusal::kHeldBack;
}

}  // namespace lynxglade::request
