// From shares to whole engines, and which engines a change would touch.
#ifndef LYNXGLADE_VERSION_SHARE_ARITHMETIC_H_
#define LYNXGLADE_VERSION_SHARE_ARITHMETIC_H_

#include <string>
#include <vector>

#include "base/ids.h"
#include "version/configuration.h"

namespace lynxglade::version {

// One intent's part of a service.
struct ShareLine {
  base::ContractId contract;
  base::ModelName model;
  base::ModelVersion version;
  double share = 0;
  // Whole engines that the share amounts to.
  int engines = 0;
};

struct ServiceShares {
  base::ServiceName service;
  // Engines (or plain targets) that the service has now.
  int engines = 0;
  double sum = 0;
  int free_engines = 0;
  std::vector<ShareLine> lines;
};

// Deals `seats` out in proportion to `shares` by the largest remainder; the
// result sums to `seats` when the shares sum to 1. Ties go to the first.
std::vector<int> LargestRemainder(const std::vector<double>& shares, int seats);

// The share arithmetic of one service; what no contract has is dealt out as
// one more party, `free_engines`.
ServiceShares ComputeShares(const Configuration& configuration,
                            const base::ServiceName& service,
                            int engines);

// What an engine runs, as far as this instance sees.
struct TargetFact {
  base::TargetId id;
  base::ServiceName service;
  base::ModelName model;
  base::ModelVersion version;
};

// An engine that would have to load something else.
struct TouchedEngine {
  TargetFact now;
  base::ModelName model;
  base::ModelVersion version;
};

// The least changes that give each model and version of the service the
// engines that its shares amount to. Engines that run what is still wanted
// stay. An estimate: which engines are taken is decided when it is done.
std::vector<TouchedEngine> TouchedEngines(
    const ServiceShares& wanted,
    const std::vector<TargetFact>& targets);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_SHARE_ARITHMETIC_H_
