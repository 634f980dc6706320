// Names of the router's enums, and the refusal reasons of its errors.

#include <algorithm>
#include <array>

#include "request/router.h"

namespace lynxglade::request {

namespace {

constexpr std::array kAllPolicies = {
    RoutePolicy::kDefault, RoutePolicy::kNoAffinity, RoutePolicy::kRandom,
    RoutePolicy::kRoundRobin, RoutePolicy::kLeastReported};

}  // namespace

std::string_view ToString(RouteError error) noexcept {
  switch (error) {
    case RouteError::kUnknownService:
      return "unknown_service";
    case RouteError::kUnknownModel:
      return "unknown_model";
    case RouteError::kNoServingTarget:
      return "no_serving_target";
    case RouteError::kAllExcluded:
      return "all_excluded";
    case RouteError::kRolesIncomplete:
      break;
  }
  return "roles_incomplete";
}

RefusalReason ToRefusalReason(RouteError error) noexcept {
  switch (error) {
    case RouteError::kUnknownService:
      return RefusalReason::kUnknownService;
    case RouteError::kUnknownModel:
      return RefusalReason::kUnknownModel;
    case RouteError::kAllExcluded:
      return RefusalReason::kAttemptsExhausted;
    case RouteError::kNoServingTarget:
    case RouteError::kRolesIncomplete:
      break;
  }
  return RefusalReason::kNoTarget;
}

std::string_view ToString(RoutePolicy policy) noexcept {
  switch (policy) {
    case RoutePolicy::kDefault:
      return "default";
    case RoutePolicy::kNoAffinity:
      return "no_affinity";
    case RoutePolicy::kRandom:
      return "random";
    case RoutePolicy::kRoundRobin:
      return "round_robin";
    case RoutePolicy::kLeastReported:
      break;
  }
  return "least_reported";
}

bool ParseRoutePolicy(std::string_view text, RoutePolicy* policy) noexcept {
  const auto it = std::ranges::find(kAllPolicies, text,
                                    [](RoutePolicy p) { return ToString(p); });
  if (it == kAllPolicies.end()) {
    return false;
  }
  *policy = *it;
  return true;
}

std::string_view ToString(RouteReason reason) noexcept {
  switch (reason) {
    case RouteReason::kSampled:
      return "sampled";
    case RouteReason::kPrefix:
      return "prefix";
    case RouteReason::kPrefixHome:
      return "prefix_home";
    case RouteReason::kOtherZone:
      return "other_zone";
    case RouteReason::kRoleFallback:
      return "role_fallback";
    case RouteReason::kAllEjected:
      return "all_ejected";
    case RouteReason::kBaseline:
      break;
  }
  return "baseline";
}

}  // namespace lynxglade::request
