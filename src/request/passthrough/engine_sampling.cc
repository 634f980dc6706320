#include "request/passthrough/engine_sampling.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <string>
#include <utility>

#include "base/hash.h"

namespace lynxglade::request::passthrough {

namespace {

// Differs from the seeds of other hashes of target ids, so that a sample is not
// biased towards targets that other decisions prefer.
constexpr std::uint64_t kSampleSeed = 0x5a3e;

std::uint64_t DigestOf(const std::map<EngineGroup, int>& levels) {
  if (levels.empty()) {
    return 0;
  }
  std::string text;
  for (const auto& [group, level] : levels) {
    text += group.service.str() + '\0' + group.zone.str() + '\0' +
            std::to_string(level) + '\0';
  }
  return base::Hash64(text);
}

}  // namespace

SamplingLevels::SamplingLevels(std::map<EngineGroup, int> levels)
    : levels_(std::move(levels)) {
  std::erase_if(levels_, [](const auto& it) { return it.second <= 0; });
  digest_ = DigestOf(levels_);
}

bool SamplingLevels::Contains(const EngineGroup& group,
                              const base::TargetId& id) const {
  const int level = Of(group);
  return level == 0 ||
         std::countl_zero(base::Hash64(id.str(), kSampleSeed)) >= level;
}

int SamplingLevels::Of(const EngineGroup& group) const {
  const auto it = levels_.find(group);
  return it == levels_.end() ? 0 : it->second;
}

bool SamplingLevels::Covers(const SamplingLevels& other) const {
  return std::ranges::all_of(levels_, [&other](const auto& it) {
    return it.second <= other.Of(it.first);
  });
}

SamplingLevels NextLevels(const SamplingLevels& current,
                          const std::map<EngineGroup, std::size_t>& sizes,
                          int doublings,
                          const EngineSamplingOptions& options) {
  std::map<EngineGroup, int> levels;
  const double wanted = options.min_targets * std::exp2(doublings);
  for (const auto& [group, size] : sizes) {
    const auto n = static_cast<double>(size);
    const int kept = current.Of(group);
    const double used = n / std::exp2(kept);
    if (used >= options.min_kept_factor * wanted &&
        used <= options.max_kept_factor * wanted) {
      levels[group] = kept;
      continue;
    }
    levels[group] = n < 2 * wanted
                        ? 0
                        : static_cast<int>(std::floor(std::log2(n / wanted)));
  }
  return SamplingLevels(std::move(levels));
}

}  // namespace lynxglade::request::passthrough
