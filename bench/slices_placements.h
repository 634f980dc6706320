// Algorithms that assign each target an owner among the members of a zone, for
// comparison by slices_benchmark. Production uses process::Slices.
#ifndef LYNXGLADE_BENCH_SLICES_PLACEMENTS_H_
#define LYNXGLADE_BENCH_SLICES_PLACEMENTS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "process/slices.h"

namespace lynxglade::bench {

// Members in joining order.
using Members = std::vector<process::SliceMember>;
using Targets = std::vector<base::TargetId>;
// The owner of each target, in the order of the targets.
using Owners = std::vector<base::InstanceId>;

struct Placement {
  std::string name;
  std::function<Owners(const Members&, const Targets&)> place;
};

// All algorithms, the production one first.
std::vector<Placement> AllPlacements();

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_SLICES_PLACEMENTS_H_
