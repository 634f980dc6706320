#include "process/slices.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <string_view>
#include <utility>

#include "base/hash.h"

namespace lynxglade::process {

namespace {

// 2^-53: maps 53 random bits to (0, 1).
constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;

// Finaliser of the splitmix64 generator.
std::uint64_t Mix(std::uint64_t n) noexcept {
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ull;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebull;
  return n ^ (n >> 31);
}

// -ln(u)/w is exponentially distributed with rate w, so each member has the
// minimum with a probability proportional to its weight. Negated, so that the
// greatest score wins.
double Score(std::uint64_t hash, double weight) noexcept {
  const double u = (static_cast<double>(hash >> 11) + 0.5) * kTwoToMinus53;
  return std::log(u) / weight;
}

}  // namespace

Slices::Slices(std::vector<SliceMember> members)
    : members_(std::move(members)) {
  std::erase_if(members_, [](const SliceMember& m) { return m.weight <= 0; });
  // All instances must break ties in the same way.
  std::ranges::sort(members_, {}, &SliceMember::id);
  std::ranges::transform(
      members_, std::back_inserter(seeds_),
      [](const SliceMember& m) { return base::Hash64(m.id.str()); });
}

const base::InstanceId& Slices::OwnerOf(
    const base::TargetId& target) const noexcept {
  const std::uint64_t key = base::Hash64(target.str());
  const base::InstanceId* owner = &no_owner_;
  double best = -std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const double score = Score(Mix(key ^ seeds_[i]), members_[i].weight);
    if (score > best) {
      best = score;
      owner = &members_[i].id;
    }
  }
  return *owner;
}

std::vector<base::TargetId> Slices::SliceOf(
    const base::InstanceId& instance,
    const std::vector<base::TargetId>& targets) const {
  std::vector<base::TargetId> slice;
  std::ranges::copy_if(targets, std::back_inserter(slice),
                       [&](const base::TargetId& target) {
                         return OwnerOf(target) == instance;
                       });
  return slice;
}

}  // namespace lynxglade::process
