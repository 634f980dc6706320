// A fleet of instances that share a retry budget, in one process and on
// simulated time, while targets reject requests and instances are killed and
// start again without memory of what they have spent.
//
// The budgets are those of the daemon. A request's prompt is prefilled at one
// target, then it runs at another one; either may reject it.
#ifndef LYNXGLADE_BENCH_RETRIES_RETRY_FLEET_H_
#define LYNXGLADE_BENCH_RETRIES_RETRY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "bench/retries/retry_bound.h"
#include "request/passthrough/shared_retry_budget.h"

namespace lynxglade::bench {

// Instances that are killed at the same moment.
struct FleetKill {
  // From the start of the run.
  base::Duration at{};
  // Fraction of the instances, at least one instance.
  double share = 1;
  // Until they run again.
  base::Duration down{};
};

struct RetryFleetSettings {
  int instances = 7;
  request::passthrough::SharedRetryBudgetOptions budget;
  // Whether an instance that starts again knows what it had spent and lent: the
  // most that any memory of it could achieve.
  bool remembers = false;
  // Whether a prompt that cannot be prefilled separately, after the start of
  // its instance, is prefilled by the target that runs it instead of refused.
  bool runner_prefills = true;
  // Requests a second of all instances. Their shares are uneven, as a load
  // balancer's hash leaves them.
  double offered = 100;
  // Fraction of the calls that targets reject while they fail, and when.
  double rejected = 0.5;
  base::Duration fail_from = std::chrono::seconds(20);
  base::Duration fail_until = std::chrono::seconds(45);
  // How long a target takes to prefill a prompt, or to reject one.
  base::Duration prefill = std::chrono::milliseconds(150);
  base::Duration reject = std::chrono::milliseconds(8);
  base::Duration length = std::chrono::seconds(55);
  std::vector<FleetKill> kills;
  std::uint64_t seed = 1;
};

struct RetryFleetResult {
  RetryBoundUse most;
  // Requests that reached an instance that was up.
  std::size_t requests = 0;
  // Those refused because no prefill could be reserved, and those that ended
  // after a rejection because no retry could be.
  std::size_t prefills_denied = 0;
  std::size_t retries_denied = 0;
  // Prefilled by the target that ran them, as no prefill could be reserved.
  std::size_t runner_prefills = 0;

  double LostFraction() const noexcept {
    return requests == 0
               ? 0
               : static_cast<double>(prefills_denied + retries_denied) /
                     static_cast<double>(requests);
  }
};

RetryFleetResult RunRetryFleet(const RetryFleetSettings& settings);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_RETRIES_RETRY_FLEET_H_
