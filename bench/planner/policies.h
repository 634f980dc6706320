// The policies that planner_curve compares: the role planner and baselines.
#ifndef LYNXGLADE_BENCH_PLANNER_POLICIES_H_
#define LYNXGLADE_BENCH_PLANNER_POLICIES_H_

#include <functional>
#include <optional>

#include "load/deployment.h"
#include "planner/fluid_service.h"
#include "process/role_planner.h"

namespace lynxglade::bench {

struct Change {
  request::EngineRole from;
  request::EngineRole to;
};

// Called after every step with the work offered in it. May request one change
// while none is in progress.
using Policy = std::function<std::optional<Change>(const FluidService& service,
                                                   const Offered& offered,
                                                   double step_s)>;

// Keeps the initial roles.
Policy NeverChange();

// The role planner of the control plane.
Policy Planner(const FluidOptions& fluid,
               const process::RolePlannerOptions& options);

// Moves one engine at a time towards the optimal split for the demand of the
// last minute.
Policy FollowLastMinute(const FluidOptions& fluid);

// Knows the mean mix of the whole run in advance: finds the best sequence of
// changes by dynamic programming over all splits, on rates without queues. As
// queues carry work over, the caller tries several options and keeps the best.
struct OracleOptions {
  // Assumed usable fraction of the engine rates.
  double usable = 0.95;
  // Price of a change, in seconds of the total offered worth.
  double price_s = 0;
};
Policy Oracle(const FluidOptions& fluid,
              const Workload& workload,
              double length_s,
              const OracleOptions& options);

// The best fixed split for the mean mix of the whole run.
process::RoleCounts BestFixedSplit(const FluidOptions& fluid,
                                   const Workload& workload,
                                   double length_s);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_PLANNER_POLICIES_H_
