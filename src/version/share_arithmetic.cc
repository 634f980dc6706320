#include "version/share_arithmetic.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <numeric>
#include <utility>

namespace lynxglade::version {
namespace {

// Rounding tolerance: a quota this close below an integer counts as it.
constexpr double kQuotaSlack = 1e-9;

using Load = std::pair<base::ModelName, base::ModelVersion>;

Load LoadOf(const TargetFact& target) {
  return {target.model, target.version};
}

}  // namespace

std::vector<int> AllocateByLargestRemainder(const std::vector<double>& shares,
                                            int seats) {
  std::vector<int> dealt(shares.size());
  std::vector<double> remainders(shares.size());
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const double quota = shares[i] * seats;
    dealt[i] = static_cast<int>(std::floor(quota + kQuotaSlack));
    remainders[i] = quota - dealt[i];
  }
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  const int wanted = static_cast<int>(std::lround(std::min(sum, 1.0) * seats));
  const int left = wanted - std::accumulate(dealt.begin(), dealt.end(), 0);
  std::vector<std::size_t> order(shares.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(order, [&](std::size_t a, std::size_t b) {
    return remainders[a] > remainders[b];
  });
  for (int i = 0; i < left && i < static_cast<int>(order.size()); ++i) {
    ++dealt[order[static_cast<std::size_t>(i)]];
  }
  return dealt;
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
  const std::vector<int> dealt = AllocateByLargestRemainder(parts, engines);
  for (std::size_t i = 0; i < shares.lines.size(); ++i) {
    shares.lines[i].engines = dealt[i];
  }
  shares.free_engines = dealt.back();
  return shares;
}

std::vector<EngineReload> ComputeEngineReloads(
    const ServiceShares& wanted,
    const std::vector<TargetFact>& targets) {
  std::map<Load, int> missing;
  for (const ShareLine& it : wanted.lines) {
    missing[{it.model, it.version}] += it.engines;
  }
  std::vector<TargetFact> spare;
  for (const TargetFact& it : targets) {
    if (it.service != wanted.service) {
      continue;
    }
    const auto need = missing.find(LoadOf(it));
    if (need != missing.end() && need->second > 0) {
      --need->second;
    } else {
      spare.push_back(it);
    }
  }
  std::vector<EngineReload> reloads;
  auto next = spare.begin();
  for (const auto& [load, n] : missing) {
    for (int i = 0; i < n && next != spare.end(); ++i, ++next) {
      reloads.push_back({*next, load.first, load.second});
    }
  }
  return reloads;
}

}  // namespace lynxglade::version
