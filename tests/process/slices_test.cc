#include "process/slices.h"

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "process/link_choice.h"

namespace lynxglade::process {
namespace {

std::vector<SliceMember> Members(int n) {
  std::vector<SliceMember> members;
  for (int i = 0; i < n; ++i) {
    members.push_back({base::InstanceId("node-" + std::to_string(i)), 1.0});
  }
  return members;
}

std::vector<base::TargetId> Targets(int n) {
  std::vector<base::TargetId> targets;
  for (int i = 0; i < n; ++i) {
    targets.emplace_back("target-" + std::to_string(i));
  }
  return targets;
}

RC_GTEST_PROP(SlicesProperty, RemovingAMemberMovesOnlyItsTargets, ()) {
  auto members = Members(*rc::gen::inRange(2, 40));
  const auto targets = Targets(300);
  const Slices before(members);
  const auto gone = *rc::gen::inRange<std::size_t>(0, members.size());
  const base::InstanceId gone_id = members[gone].id;
  members.erase(members.begin() + static_cast<std::ptrdiff_t>(gone));
  const Slices after(members);
  for (const auto& target : targets) {
    const auto& owner = before.OwnerOf(target);
    const auto& now = after.OwnerOf(target);
    const bool right = owner == gone_id ? now != gone_id : now == owner;
    RC_ASSERT(right);
  }
}

RC_GTEST_PROP(SlicesProperty, RaisingAWeightMovesTargetsToThatMemberOnly, ()) {
  auto members = Members(*rc::gen::inRange(2, 40));
  const Slices before(members);
  const auto grown = *rc::gen::inRange<std::size_t>(0, members.size());
  members[grown].weight = 1.0 + *rc::gen::inRange(1, 100) / 10.0;
  const Slices after(members);
  for (const auto& target : Targets(300)) {
    const auto& owner = after.OwnerOf(target);
    const bool right =
        owner == before.OwnerOf(target) || owner == members[grown].id;
    RC_ASSERT(right);
  }
}

TEST(Slices, SharesFollowTheWeights) {
  auto members = Members(10);
  members[0].weight = 4.0;
  members[1].weight = 0.0;
  std::map<std::string, int> count;
  const Slices slices(members);
  constexpr int kTargets = 24000;
  for (const auto& target : Targets(kTargets)) {
    ++count[slices.OwnerOf(target).str()];
  }
  // Weights sum to 12; five standard deviations of a binomial.
  const auto expect_share = [&](const std::string& id, double share) {
    const double mean = kTargets * share;
    EXPECT_NEAR(count[id], mean, 5 * std::sqrt(mean * (1 - share))) << id;
  };
  expect_share("node-0", 4.0 / 12);
  expect_share("node-5", 1.0 / 12);
  EXPECT_EQ(count["node-1"], 0);
}

TEST(Slices, SlicesPartitionTargetsAndNoMembersMeansNoOwner) {
  const auto targets = Targets(100);
  const auto members = Members(7);
  const Slices slices(members);
  std::size_t sum = 0;
  for (const auto& member : members) {
    sum += slices.SliceOf(member.id, targets).size();
  }
  EXPECT_EQ(sum, targets.size());
  EXPECT_TRUE(Slices({}).OwnerOf(targets[0]).empty());
}

// Number of hops from the first candidate to the farthest one, or the number of
// candidates if some are unreachable. `links` is set to the maximum degree.
std::size_t Hops(const std::vector<LinkCandidate>& all, std::size_t* links) {
  std::map<base::InstanceId, std::set<base::InstanceId>> edges;
  *links = 0;
  for (const auto& self : all) {
    for (const auto& peer : ChooseLinks(self, all, {})) {
      edges[self.id].insert(peer);
      edges[peer].insert(self.id);
    }
  }
  for (const auto& [id, peers] : edges) {
    *links = std::max(*links, peers.size());
  }
  std::set<base::InstanceId> reached{all[0].id};
  std::size_t hops = 0;
  for (auto edge = reached; !edge.empty(); ++hops) {
    std::set<base::InstanceId> next;
    for (const auto& id : edge) {
      for (const auto& peer : edges[id]) {
        if (reached.insert(peer).second) {
          next.insert(peer);
        }
      }
    }
    edge = next;
  }
  return reached.size() == all.size() ? hops - 1 : all.size();
}

TEST(LinkChoice, FewLinksReachAllInstancesInFewHops) {
  std::vector<LinkCandidate> all;
  for (int i = 0; i < 340; ++i) {
    all.push_back({base::InstanceId("node-" + std::to_string(i)),
                   base::ZoneId("zone-" + std::to_string(i % 11))});
  }
  std::size_t links = 0;
  EXPECT_LE(Hops(all, &links), 9u);
  EXPECT_LE(links, 12u);
}

RC_GTEST_PROP(LinkChoiceProperty, AllInstancesAreConnected, ()) {
  std::vector<LinkCandidate> all;
  const int n = *rc::gen::inRange(2, 40);
  for (int i = 0; i < n; ++i) {
    all.push_back(
        {base::InstanceId(std::to_string(*rc::gen::arbitrary<std::uint32_t>())),
         base::ZoneId(std::string(1, *rc::gen::inRange('a', 'f')))});
  }
  std::size_t links = 0;
  std::set<base::InstanceId> distinct;
  for (const auto& candidate : all) {
    RC_PRE(distinct.insert(candidate.id).second);
  }
  RC_ASSERT(Hops(all, &links) < all.size());
}

}  // namespace
}  // namespace lynxglade::process
