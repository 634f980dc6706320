// What knowledge of the store costs an instance does not grow with the fleet.
#include "bench/knowledge/knowledge_fleet.h"

#include <chrono>

#include <gtest/gtest.h>

namespace lynxglade::bench {
namespace {

using Role = process::peers::WatchSharing::Role;

// A quantity that must not grow may be larger by this factor at four times the
// size.
constexpr double kMaxGrowth = 1.2;

struct Costs {
  // Of a follower.
  double start_bytes = 0;
  double rollout_bytes = 0;
  double store_calls = 0;
};

double PerInstance(std::uint64_t total, const RoleCost& role) {
  return static_cast<double>(total) / role.instances;
}

KnowledgeFleetSettings Settings(int instances, int targets) {
  KnowledgeFleetSettings settings;
  settings.instances = instances;
  settings.zones = 2;
  settings.targets = targets;
  settings.max_staleness = std::chrono::seconds(60);
  return settings;
}

Costs Measure(int instances, int targets) {
  KnowledgeFleet fleet(Settings(instances, targets));
  Costs costs;
  fleet.Start();
  RoleCost role = fleet.TakeCosts().at(Role::kFollower);
  costs.start_bytes = PerInstance(role.total.relayed_in_bytes, role);
  costs.store_calls = PerInstance(role.total.store_calls, role);
  fleet.ReplaceTargets(0.4, std::chrono::milliseconds(500));
  fleet.RemoveUsedTarget();
  fleet.ChangeConfiguration();
  role = fleet.TakeCosts().at(Role::kFollower);
  costs.rollout_bytes = PerInstance(role.total.relayed_in_bytes, role);
  costs.store_calls += PerInstance(role.total.store_calls, role);
  return costs;
}

// The numbers of targets are such that the expected number in use is the same.
TEST(KnowledgeFleet, CostOfAFollowerDoesNotGrowWithTheTargets) {
  const Costs small = Measure(160, 2000);
  const Costs large = Measure(160, 8000);
  EXPECT_LE(large.start_bytes, kMaxGrowth * small.start_bytes);
  EXPECT_LE(large.rollout_bytes, kMaxGrowth * small.rollout_bytes);
}

// While nothing changes, relays stay fresh enough to serve the others.
TEST(KnowledgeFleet, IdleFollowersDoNotCallTheStore) {
  KnowledgeFleet fleet(Settings(60, 300));
  fleet.Start();
  // The first watch of each instance has begun.
  fleet.RunFor(std::chrono::seconds(1));
  fleet.TakeCosts();
  fleet.RunFor(std::chrono::seconds(3));
  const auto costs = fleet.TakeCosts();
  EXPECT_EQ(costs.at(Role::kFollower).total.store_calls, 0U);
  EXPECT_EQ(costs.at(Role::kSecondary).total.store_calls, 0U);
  EXPECT_GT(costs.at(Role::kPrimary).total.store_calls, 0U);
}

// At the start a follower lists the keys of instances, and may do so again;
// everything else comes from relays.
TEST(KnowledgeFleet, FollowersHardlyCallTheStore) {
  EXPECT_LE(Measure(160, 2000).store_calls, 2);
  EXPECT_LE(Measure(480, 2000).store_calls, 2);
}

TEST(KnowledgeFleet, CostOfAFollowerDoesNotGrowWithTheInstances) {
  const Costs small = Measure(160, 2000);
  const Costs large = Measure(480, 2000);
  EXPECT_LE(large.start_bytes, kMaxGrowth * small.start_bytes);
  EXPECT_LE(large.rollout_bytes, kMaxGrowth * small.rollout_bytes);
}

}  // namespace
}  // namespace lynxglade::bench
