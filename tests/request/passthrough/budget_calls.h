// Calls to a retry budget that its tests share.
#ifndef LYNXGLADE_TESTS_REQUEST_PASSTHROUGH_BUDGET_CALLS_H_
#define LYNXGLADE_TESTS_REQUEST_PASSTHROUGH_BUDGET_CALLS_H_

#include <chrono>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/shared_retry_budget.h"

namespace lynxglade::request::passthrough {

inline const base::Time kNow = base::Time() + std::chrono::hours(1);
inline const base::ServiceName kService("llm");

inline std::optional<ReservedArrivals> ReservePrefill(SharedRetryBudget& budget,
                                                      int instances,
                                                      base::Time now) {
  return budget.TryReserve(kService, 1, ArrivalPurpose::kFirstPrefill,
                           instances, now);
}

// Reserves and charges retries.
inline bool Take(SharedRetryBudget& budget,
                 int arrivals,
                 int instances,
                 base::Time now,
                 const base::ServiceName& service = kService) {
  const auto reserved = budget.TryReserve(
      service, arrivals, ArrivalPurpose::kRetry, instances, now);
  if (reserved) {
    budget.Charge(service, *reserved);
  }
  return reserved.has_value();
}

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_TESTS_REQUEST_PASSTHROUGH_BUDGET_CALLS_H_
