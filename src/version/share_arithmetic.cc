#include "version/share_arithmetic.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <numeric>
#include <utility>

namespace lynxglade::version {
namespace {

// Rounding tolerance: a quota this little below an integer is rounded up.
constexpr double kQuotaTolerance = 1e-9;

using EngineModel = std::pair<base::ModelName, base::ModelVersion>;

EngineModel ModelOf(const TargetFact& target) {
  return {target.model, target.version};
}

}  // namespace

std::vector<int> AllocateByLargestRemainder(const std::vector<double>& shares,
                                            int seats) {
  std::vector<int> allocated(shares.size());
  std::vector<double> remainders(shares.size());
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const double quota = shares[i] * seats;
    allocated[i] = static_cast<int>(std::floor(quota + kQuotaTolerance));
    remainders[i] = quota - allocated[i];
  }
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  const int total = static_cast<int>(std::lround(std::min(sum, 1.0) * seats));
  const int remaining =
      total - std::accumulate(allocated.begin(), allocated.end(), 0);
  std::vector<std::size_t> order(shares.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(order, [&](std::size_t a, std::size_t b) {
    return remainders[a] > remainders[b];
  });
  for (int i = 0; i < remaining && i < static_cast<int>(order.size()); ++i) {
    ++allocated[order[static_cast<std::size_t>(i)]];
  }
  return allocated;
}

ServiceShares ComputeShares(const Configuration& configuration,
                            const base::ServiceName& service,
                            int engines) {
  ServiceShares shares{service, engines, 0, 0, {}};
  for (const auto& [id, contract] : configuration.contracts) {
    for (const Intent& it : contract.intents) {
      if (it.service == service) {
        shares.lines.push_back({id, it.model, it.version, it.share, 0});
        shares.sum += it.share;
      }
    }
  }
  std::vector<double> parts;
  std::ranges::transform(shares.lines, std::back_inserter(parts),
                         &ShareLine::share);
  parts.push_back(std::max(0.0, 1.0 - shares.sum));
  const std::vector<int> allocated = AllocateByLargestRemainder(parts, engines);
  for (std::size_t i = 0; i < shares.lines.size(); ++i) {
    shares.lines[i].engines = allocated[i];
  }
  shares.free_engines = allocated.back();
  return shares;
}

std::vector<EngineReload> ComputeEngineReloads(
    const ServiceShares& desired,
    const std::vector<TargetFact>& targets) {
  std::map<EngineModel, int> missing;
  for (const ShareLine& it : desired.lines) {
    missing[{it.model, it.version}] += it.engines;
  }
  std::vector<TargetFact> spare;
  for (const TargetFact& it : targets) {
    if (it.service != desired.service) {
      continue;
    }
    const auto need = missing.find(ModelOf(it));
    if (need != missing.end() && need->second > 0) {
      --need->second;
    } else {
      spare.push_back(it);
    }
  }
  std::vector<EngineReload> reloads;
  auto next = spare.begin();
  for (const auto& [model_version, n] : missing) {
    for (int i = 0; i < n && next != spare.end(); ++i, ++next) {
      reloads.push_back({*next, model_version.first, model_version.second});
    }
  }
  return reloads;
}

}  // namespace lynxglade::version
