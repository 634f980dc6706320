// Kinds whose answers take long keep their part beside short ones.
#include <algorithm>
#include <cstdint>
#include <cstdio>

#include <gtest/gtest.h>

#include "bench/drawn_fleet.h"
#include "bench/kind_bound.h"

namespace lynxglade::bench {
namespace {

// Guards against STARVED: long answers need emptier engines than short ones
// leave them.
TEST(DraftFleet, NoKindIsServedLessThanAQuarterAsOftenAsAll) {
  constexpr std::uint64_t kFleets = 100;
  int starved = 0;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    const SizeFleetSettings settings = DrawFleet(seed, 3, 6, DrawnMix::kDrafts);
    const SizeFleetResult result = RunSizeFleet(settings);
    const bool holds = result.KindShortfall(kMinRatio) <= kMaxDeviations;
    starved += holds ? 0 : 1;
    EXPECT_TRUE(holds) << Describe(settings, result);
  }
  std::printf("starved %d\n", starved);
}

}  // namespace
}  // namespace lynxglade::bench
