// Converts contract shares to whole engines and estimates engine reloads.
#ifndef LYNXGLADE_VERSION_SHARE_ARITHMETIC_H_
#define LYNXGLADE_VERSION_SHARE_ARITHMETIC_H_

#include <string>
#include <vector>

#include "base/ids.h"
#include "version/configuration.h"

namespace lynxglade::version {

// Share of one intent on a service.
struct ShareLine {
  base::ContractId contract;
  base::ModelName model;
  base::ModelVersion version;
  double share = 0;
  // Whole engines allocated to the share.
  int engines = 0;
};

struct ServiceShares {
  base::ServiceName service;
  // Current number of engines (or plain targets) of the service.
  int engines = 0;
  // Sum of the shares of all lines.
  double sum = 0;
  // Engines not allocated to any line.
  int free_engines = 0;
  std::vector<ShareLine> lines;
};

// Allocates `seats` in proportion to `shares` by the largest remainder method.
// The result sums to `seats` when the shares sum to 1. Equal remainders favour
// the lower index.
std::vector<int> AllocateByLargestRemainder(const std::vector<double>& shares,
                                            int seats);

// Allocates the engines of one service to the contracts' shares. The share not
// covered by a contract takes part in the allocation as `free_engines`.
ServiceShares ComputeShares(const Configuration& configuration,
                            const base::ServiceName& service,
                            int engines);

// What an engine currently runs, as seen by this instance.
struct TargetFact {
  base::TargetId id;
  base::ServiceName service;
  base::ModelName model;
  base::ModelVersion version;
};

// An engine that has to load another model or version.
struct EngineReload {
  TargetFact current;
  base::ModelName model;
  base::ModelVersion version;
};

// Computes a minimal set of reloads that gives each model and version the
// engines allocated to it. Engines that already run a required model keep it.
// This is an estimate; the engines are chosen when the change is carried out.
std::vector<EngineReload> ComputeEngineReloads(
    const ServiceShares& desired,
    const std::vector<TargetFact>& targets);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_SHARE_ARITHMETIC_H_
