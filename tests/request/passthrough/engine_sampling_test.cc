#include "request/passthrough/engine_sampling.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

const EngineSamplingOptions kOptions;
const EngineGroup kGroup{base::ServiceName("llm"), base::ZoneId("a")};

std::size_t CountSampled(const SamplingLevels& levels, std::size_t n) {
  std::size_t sampled = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const base::TargetId id("i-" + std::to_string(i));
    sampled += levels.Contains(kGroup, id) ? 1 : 0;
  }
  return sampled;
}

SamplingLevels LevelsOf(std::size_t n, int doublings = 0) {
  return NextLevels({}, {{kGroup, n}}, doublings, kOptions);
}

TEST(EngineSampling, SmallGroupsAreUsedWhole) {
  EXPECT_EQ(LevelsOf(127).digest(), 0U);
  EXPECT_EQ(CountSampled(LevelsOf(127), 127), 127U);
}

// What is used does not grow with the fleet.
RC_GTEST_PROP(EngineSampling, UsedTargetsAreBounded, ()) {
  const auto n = *rc::gen::inRange<std::size_t>(200, 20'000);
  const std::size_t used = CountSampled(LevelsOf(n), n);
  // Expected between 51 and 160; binomial, so up to half more or less.
  RC_ASSERT(used >= 25U);
  RC_ASSERT(used <= 240U);
}

// Each doubling adds targets and keeps those in use, until all are used.
RC_GTEST_PROP(EngineSampling, SamplesAreNested, ()) {
  const auto n = *rc::gen::inRange<std::size_t>(10, 20'000);
  for (int doublings = 0; doublings < 9; ++doublings) {
    const SamplingLevels less = LevelsOf(n, doublings);
    const SamplingLevels more = LevelsOf(n, doublings + 1);
    RC_ASSERT(more.Covers(less));
    for (int i = 0; i < 200; ++i) {
      const base::TargetId id("i-" + std::to_string(i));
      RC_ASSERT((!less.Contains(kGroup, id) || more.Contains(kGroup, id)));
    }
  }
  RC_ASSERT(LevelsOf(n, 9).digest() == 0U);
}

// Targets that come and go one by one change the level at few sizes.
TEST(EngineSampling, LevelsAreSteady) {
  for (int n = 700; n < 1500; n += 50) {
    SamplingLevels levels = LevelsOf(static_cast<std::size_t>(n));
    const SamplingLevels before = levels;
    for (int i = 0; i < 20; ++i) {
      const int size = n + n * (i % 2 == 0 ? 10 : -10) / 100;
      levels = NextLevels(levels, {{kGroup, static_cast<std::size_t>(size)}}, 0,
                          kOptions);
    }
    EXPECT_EQ(levels, before) << n;
  }
}

// A group that shrinks is sampled less, so that targets remain.
TEST(EngineSampling, LossOfMostTargetsLowersTheLevel) {
  const SamplingLevels before = LevelsOf(2000);
  const SamplingLevels after = NextLevels(before, {{kGroup, 100}}, 0, kOptions);
  EXPECT_GT(before.Of(kGroup), 0);
  EXPECT_EQ(after.Of(kGroup), 0);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
