// What attempts reserve of the shared retry budget.
#include <functional>
#include <string>

#include "connection/event/sleep.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

using connection::event::Awaitable;
using connection::event::SleepFor;

Awaitable<std::optional<ReservedArrivals>> RelayRun::ReserveRetry(
    const EnginePick& pick,
    AttemptEnd after) {
  const bool prefills = pick.prefill_engine && !source_;
  const int arrivals = (runs_ + rejections_ > 0 ? 1 : 0) +
                       (prefills && accepted_prefills_ > 0 ? 1 : 0);
  if (arrivals == 0) {
    co_return deps_.retry_budget.TryReserve(service_, 0, ArrivalPurpose::kRetry,
                                            deps_.instances(), deps_.clock());
  }
  std::optional<ReservedArrivals> reserved;
  const std::function<bool(base::Time)> reserve = [&](base::Time now) {
    reserved = deps_.retry_budget.TryReserve(
        service_, arrivals, ArrivalPurpose::kRetry, deps_.instances(), now);
    return reserved.has_value();
  };
  const bool paid = co_await WaitForBudget(reserve, options_.budget_timeout);
  deps_.metrics
      .GetCounter(
          paid ? "lynxglade_retries_total" : "lynxglade_retry_denials_total",
          {{paid ? "after" : "reason",
            paid ? std::string(ToString(after)) : "allowance"}})
      .Add();
  LogBudget(paid ? "retry_paid" : "retry_denied", ToString(after), arrivals);
  co_return reserved;
}

Awaitable<bool> RelayRun::WaitForBudget(
    const std::function<bool(base::Time now)>& reserve,
    base::Duration timeout) {
  const base::Time wait_until = deps_.clock() + timeout;
  while (!IsStopped()) {
    const base::Time now = deps_.clock();
    if (reserve(now)) {
      co_return true;
    }
    if (now >= wait_until) {
      break;
    }
    co_await SleepFor(deps_.loop, options_.budget_poll_interval);
  }
  co_return false;
}

}  // namespace lynxglade::request::passthrough
