// Guards against requests that share a part of their prompts which crashes
// engine after engine, at any size of the fleet, and against sound requests
// that are refused beside them.
#include <gtest/gtest.h>

#include "bench/quarantine/quarantine_fleet.h"
#include "request/passthrough/quarantine_options.h"

namespace lynxglade::bench {
namespace {

using request::passthrough::FleetQuarantineOptions;

struct Size {
  int instances;
  int engines;
};

// Five engines, and three requests later than 3 s after the fifth, are what a
// part may cost; sound requests with the same first part begin at the first
// attempt nine times in ten of those before.
constexpr int kMostLostByPart = 5;
constexpr int kMostSentLate = 3;
constexpr double kLeastBegun = 0.9;

class CrashingPartFleet : public testing::TestWithParam<Size> {};

TEST_P(CrashingPartFleet, EachPartCostsFewEnginesInTheSum) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto result =
        RunQuarantineFleet({.instances = GetParam().instances,
                            .engines = GetParam().engines,
                            .options = FleetQuarantineOptions(),
                            .crashing_contents = 0,
                            .crashing_parts = 3,
                            .other_crashes_per_second = seed % 2 == 0 ? 0.5 : 0,
                            .mass_crashes = seed == 5 ? 3 : 0,
                            .seed = seed});
    EXPECT_LE(result.most_engines_lost, kMostLostByPart) << "seed " << seed;
    EXPECT_GE(result.engines_lost, 3) << "each part crashes one engine";
    EXPECT_LE(result.most_sent_late, kMostSentLate) << "seed " << seed;
    EXPECT_GE(result.least_begun_ratio, kLeastBegun) << "seed " << seed;
  }
}

// Parts that differ in position, frequency, companions, times and chances, two
// at once.
TEST(DrawnParts, FewRequestsAreSentLateAndSoundOnesBegin) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto result = RunQuarantineFleet({.options = FleetQuarantineOptions(),
                                            .crashing_contents = 0,
                                            .crashing_parts = 2,
                                            .part_requests_per_second = 0.6,
                                            .vary_parts = true,
                                            .seed = seed});
    EXPECT_LE(result.most_sent_late, kMostSentLate) << "seed " << seed;
    EXPECT_GE(result.least_begun_ratio, kLeastBegun) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    CrashingPartFleet,
    testing::Values(Size{1, 12}, Size{7, 12}, Size{60, 60}, Size{985, 300}));

}  // namespace
}  // namespace lynxglade::bench
