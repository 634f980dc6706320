// The requests of all instances together stay within the limit that a target
// names, at any size of the fleet, and the limit is used.
#include "bench/limits/limit_fleet.h"

#include <gtest/gtest.h>

namespace lynxglade::bench {
namespace {

class LimitFleet : public testing::TestWithParam<int> {};

TEST_P(LimitFleet, SumKeepsToTheLimit) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double limit : {0.0, 0.5, 4.6, 20.0}) {
      const auto result = RunLimitFleet({.instances = GetParam(),
                                         .offered = 60,
                                         .limit = base::PerSecond(limit),
                                         .later_limit = base::PerSecond(limit),
                                         .seed = seed});
      EXPECT_TRUE(result.Holds())
          << limit << ", seed " << seed << ": " << result.most_in_window
          << " of " << result.allowed;
    }
  }
}

TEST_P(LimitFleet, SumKeepsToALimitThatIsLowered) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto result = RunLimitFleet({.instances = GetParam(),
                                       .offered = 60,
                                       .limit = base::PerSecond(20),
                                       .later_limit = base::PerSecond(2),
                                       .seed = seed});
    EXPECT_TRUE(result.Holds())
        << "seed " << seed << ": " << result.most_in_later_window;
  }
}

// Instances disagree for up to three seconds on who is up.
TEST_P(LimitFleet, SumKeepsToTheLimitWhileInstancesAreReplaced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto result = RunLimitFleet(
        {.instances = GetParam(), .offered = 60, .replaced = 3, .seed = seed});
    EXPECT_TRUE(result.Holds())
        << "seed " << seed << ": " << result.most_in_window << ", "
        << result.most_in_later_window;
  }
}

TEST_P(LimitFleet, TargetIsUsedAgainSoonAfterItsLimitEnds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto result = RunLimitFleet({.instances = GetParam(), .seed = seed});
    EXPECT_GE(result.recovery_seconds, 0) << "seed " << seed;
    EXPECT_LE(result.recovery_seconds, 10) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         LimitFleet,
                         testing::Values(1, 7, 60, 295, 985));

// The bound of the sum is what is tested above: other ways break it.
TEST(LimitWays, WholeLimitForEachInstanceBreaksTheSum) {
  EXPECT_FALSE(RunLimitFleet({.select_share = SelectWholeLimit}).Holds());
}

}  // namespace
}  // namespace lynxglade::bench
