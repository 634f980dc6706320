#include "slices_placements.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <map>
#include <numeric>
#include <utility>

#include "base/hash.h"
#include "base/random.h"

namespace lynxglade::bench {

namespace {

constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
// Maximum load of a member relative to the mean.
constexpr double kLoadBound = 1.25;

double Uniform(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11) + 0.5) * kTwoToMinus53;
}

double TotalWeight(const Members& members) {
  return std::accumulate(
      members.begin(), members.end(), 0.0,
      [](double sum, const process::SliceMember& m) { return sum + m.weight; });
}

Owners Rendezvous(const Members& members, const Targets& targets) {
  const process::Slices slices(members);
  Owners owners;
  std::ranges::transform(
      targets, std::back_inserter(owners),
      [&](const base::TargetId& target) { return slices.OwnerOf(target); });
  return owners;
}

// Sub-cluster draws after R. J. Honicky and E. L. Miller, "RUSH: Balanced,
// Decentralized Distribution for Replicated Data in Scalable Storage
// Clusters", sections 4.1 and 4.2, for one replica. Instances come and go one
// by one, so each is a sub-cluster of one server; from the newest to the
// oldest, a draw seeded by target and sub-cluster is compared with the
// sub-cluster's part of the weight of itself and all older ones.
Owners RushDraws(const Members& members, const Targets& targets) {
  std::vector<double> older(members.size());
  std::vector<std::uint64_t> seeds(members.size());
  double sum = 0;
  for (std::size_t j = 0; j < members.size(); ++j) {
    older[j] = sum;
    sum += members[j].weight;
    seeds[j] = base::Hash64(members[j].id.str());
  }
  const auto home_of = [&](const base::TargetId& target) {
    for (std::size_t j = members.size(); j-- > 1;) {
      const double w = members[j].weight;
      const double z = Uniform(base::Hash64(target.str(), seeds[j]));
      if (z <= w / (older[j] + w)) {
        return members[j].id;
      }
    }
    return members[0].id;
  };
  Owners owners;
  std::ranges::transform(targets, std::back_inserter(owners), home_of);
  return owners;
}

// RushDraws() with sub-clusters ordered by id, for members that do not agree on
// the joining order.
Owners RushDrawsById(const Members& members, const Targets& targets) {
  Members sorted = members;
  std::ranges::sort(sorted, {}, &process::SliceMember::id);
  return RushDraws(sorted, targets);
}

// Each target draws a new owner whenever the members change.
Owners RandomSubsets(const Members& members, const Targets& targets) {
  std::vector<double> upto;
  double sum = 0;
  for (const auto& member : members) {
    upto.push_back(sum += member.weight);
  }
  Owners owners;
  std::ranges::transform(
      targets, std::back_inserter(owners), [&](const base::TargetId& target) {
        const double z = Uniform(base::Hash64(target.str())) * sum;
        const auto it = std::ranges::upper_bound(upto, z);
        return members[static_cast<std::size_t>(it - upto.begin())].id;
      });
  return owners;
}

// Splits a shuffled list of all targets into runs by weight.
Owners SubsetShuffle(const Members& members, const Targets& targets) {
  std::vector<std::size_t> order(targets.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {}, [&](std::size_t i) {
    return base::Hash64(targets[i].str(), 1);
  });
  const double total = TotalWeight(members);
  Owners owners(targets.size());
  double sum = 0;
  std::size_t next = 0;
  for (const auto& member : members) {
    sum += member.weight;
    const auto end = static_cast<std::size_t>(
        std::llround(sum / total * static_cast<double>(targets.size())));
    for (; next < end; ++next) {
      owners[order[next]] = member.id;
    }
  }
  return owners;
}

// Rendezvous hashing in which a full member passes a target on to its next
// choice. Requires the complete, identical target list at every instance.
Owners BoundedRendezvous(const Members& members, const Targets& targets) {
  const double total = TotalWeight(members);
  std::vector<std::size_t> room;
  std::vector<std::uint64_t> seeds;
  for (const auto& member : members) {
    const double share =
        static_cast<double>(targets.size()) * member.weight / total;
    room.push_back(static_cast<std::size_t>(std::ceil(kLoadBound * share)));
    seeds.push_back(base::Hash64(member.id.str()));
  }
  std::vector<std::size_t> order(targets.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {}, [&](std::size_t i) {
    return base::Hash64(targets[i].str(), 1);
  });
  Owners owners(targets.size());
  for (const std::size_t i : order) {
    std::size_t best = members.size();
    double best_score = 0;
    for (std::size_t j = 0; j < members.size(); ++j) {
      const double score =
          std::log(Uniform(base::Hash64(targets[i].str(), seeds[j]))) /
          members[j].weight;
      if (room[j] > 0 && (best == members.size() || score > best_score)) {
        best = j;
        best_score = score;
      }
    }
    --room[best];
    owners[i] = members[best].id;
  }
  return owners;
}

}  // namespace

std::vector<Placement> AllPlacements() {
  return {
      {"weighted rendezvous", Rendezvous},
      {"RUSH draws, join order", RushDraws},
      {"RUSH draws, id order", RushDrawsById},
      {"random subsets", RandomSubsets},
      {"subset shuffle", SubsetShuffle},
      {"bounded rendezvous", BoundedRendezvous},
  };
}

}  // namespace lynxglade::bench
