// Ways to give each target a home among the members of a zone; compared by
// slices_benchmark. The one in use is process::Slices.
#ifndef LYNXGLADE_BENCH_SLICES_PLACEMENTS_H_
#define LYNXGLADE_BENCH_SLICES_PLACEMENTS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "process/slices.h"

namespace lynxglade::bench {

// Members in the order in which they joined.
using Members = std::vector<process::SliceMember>;
using Targets = std::vector<base::TargetId>;
// The home of each target, in the targets' order.
using Homes = std::vector<base::InstanceId>;

struct Placement {
  std::string name;
  std::function<Homes(const Members&, const Targets&)> place;
};

// All ways, the one in use first.
std::vector<Placement> AllPlacements();

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_SLICES_PLACEMENTS_H_
