// Guards against a request that crashes engine after engine, at any size of the
// fleet, and against harmless requests that are refused beside it.
#include "bench/quarantine/quarantine_fleet.h"

#include <gtest/gtest.h>

#include "request/passthrough/quarantine_options.h"

namespace lynxglade::bench {
namespace {

using request::passthrough::FleetQuarantineOptions;

struct Size {
  int instances;
  int engines;
};

class QuarantineFleet : public testing::TestWithParam<Size> {
 protected:
  static QuarantineFleetSettings Settings(std::uint64_t seed) {
    return {.instances = GetParam().instances,
            .engines = GetParam().engines,
            .options = FleetQuarantineOptions(),
            .seed = seed};
  }
};

// Three crashes, and three further runs, are what a content may cost at most.
constexpr int kMostLost = 6;

TEST_P(QuarantineFleet, EachContentCostsFewEnginesInTheSum) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    QuarantineFleetSettings settings = Settings(seed);
    settings.other_crashes_per_second = seed % 2 == 0 ? 0.5 : 0;
    settings.mass_crashes = seed == 5 ? 3 : 0;
    const auto result = RunQuarantineFleet(settings);
    EXPECT_LE(result.most_engines_lost, kMostLost) << "seed " << seed;
    EXPECT_GE(result.engines_lost, 3) << "each content crashes one engine";
  }
}

// At most one in a thousand.
TEST_P(QuarantineFleet, HarmlessRequestsBesideCrashesAreServed) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    QuarantineFleetSettings settings = Settings(seed);
    settings.other_crashes_per_second = 0.5;
    const auto result = RunQuarantineFleet(settings);
    EXPECT_LE(result.harmless_refused * 1000, result.harmless)
        << "seed " << seed << ": " << result.harmless_refused;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    QuarantineFleet,
    testing::Values(Size{1, 12}, Size{7, 12}, Size{60, 60}, Size{985, 300}));

// The bound of the sum is what is tested above: other ways break it.
TEST(QuarantineWays, EachInstanceForItselfLosesFarMore) {
  const auto result = RunQuarantineFleet({.instances = 60,
                                          .engines = 60,
                                          .options = FleetQuarantineOptions(),
                                          .shares = false});
  EXPECT_GT(result.most_engines_lost, 6);
}

}  // namespace
}  // namespace lynxglade::bench
