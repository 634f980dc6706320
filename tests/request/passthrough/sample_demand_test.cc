#include "request/passthrough/sample_demand.h"

#include <gtest/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

const base::Time kStart = base::Time() + std::chrono::hours(1);

// Adds the counts of one second, `n` times, and returns the doublings.
int RunSeconds(SampleDemand& demand,
               const PlacementCounts& counts,
               int n,
               base::Time* now) {
  int doublings = 0;
  for (int i = 0; i < n; ++i) {
    *now += std::chrono::seconds(1);
    demand.Add(counts, *now);
    doublings = demand.Doublings(*now);
  }
  return doublings;
}

TEST(SampleDemand, StaysWhileTargetsAreFree) {
  SampleDemand demand;
  base::Time now = kStart;
  EXPECT_EQ(RunSeconds(demand, {.placed = 100, .crowded = 0}, 60, &now), 0);
}

// The load needs most of the fleet: all engines are in use within seconds.
TEST(SampleDemand, GrowsFastWhileManyRequestsAreCrowded) {
  SampleDemand demand;
  base::Time now = kStart;
  EXPECT_GE(RunSeconds(demand, {.placed = 100, .crowded = 60}, 4, &now), 7);
}

TEST(SampleDemand, OneInstanceWithFewRequestsDecidesNothing) {
  SampleDemand demand;
  base::Time now = kStart;
  EXPECT_EQ(RunSeconds(demand, {.placed = 1, .crowded = 1}, 30, &now), 0);
}

// Callers wait while engines are missing, and spare ones cost little: grows at
// once, shrinks late.
TEST(SampleDemand, ShrinksLate) {
  SampleDemand demand;
  base::Time now = kStart;
  EXPECT_GT(RunSeconds(demand, {.placed = 100, .crowded = 20}, 3, &now), 0);
  const int grown = RunSeconds(demand, {.placed = 100}, 5, &now);
  EXPECT_EQ(RunSeconds(demand, {.placed = 100}, 20, &now), grown);
  EXPECT_LT(RunSeconds(demand, {.placed = 100}, 35, &now), grown);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
