// The arrivals beyond the first of each request stay within the fleet's retry
// budget, whatever is killed when.
#include "bench/retries/retry_fleet.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include <gtest/gtest.h>

#include "base/random.h"

namespace lynxglade::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int Draw(const base::RandomSource& random, int from, int to) {
  return from + static_cast<int>(base::UniformBelow(
                    random, static_cast<std::uint64_t>(to - from + 1)));
}

// Draws a fleet of up to `most_instances`, its budget and its kills.
RetryFleetSettings DrawFleet(std::uint64_t seed, int most_instances) {
  const base::RandomSource random = base::SeededRandom(seed);
  RetryFleetSettings it;
  it.seed = seed;
  it.instances = Draw(random, 1, most_instances);
  it.offered = Draw(random, 10, 60) + 0.2 * it.instances;
  it.budget.ratio = 0.05 * Draw(random, 1, 8);
  it.budget.allowance = Draw(random, 2, 80);
  it.rejected = 0.1 * Draw(random, 1, 10);
  it.fail_from = milliseconds(Draw(random, 1'000, 12'000));
  it.fail_until = it.fail_from + milliseconds(Draw(random, 500, 20'000));
  it.prefill = milliseconds(Draw(random, 20, 900));
  it.length = seconds(34);
  base::Duration at = milliseconds(Draw(random, 500, 12'000));
  const int kills = Draw(random, 0, 8);
  for (int i = 0; i < kills; ++i) {
    it.kills.push_back(
        {at, 0.25 * Draw(random, 0, 4), milliseconds(Draw(random, 50, 2'000))});
    at += milliseconds(Draw(random, 100, 4'000));
  }
  return it;
}

// Guards against BUDGET: an instance that starts again has its share of the
// retry budget once more, though its earlier lifetime has spent it.
TEST(RetryFleet, SumOfAllLifetimesKeepsToTheBudget) {
  constexpr std::uint64_t kFleets = 1000;
  double most = 0;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    const RetryFleetSettings settings = DrawFleet(seed, 60);
    const RetryFleetResult result = RunRetryFleet(settings);
    most = std::max(most, result.most.Fraction());
    EXPECT_LE(result.most.Fraction(), 1)
        << "seed " << seed << ": " << result.most.arrivals << " of "
        << result.most.allowed << ", " << settings.instances << " instances, "
        << settings.kills.size() << " kills";
  }
  RecordProperty("most_used_percent", static_cast<int>(100 * most));
  std::printf("most used: %.2f of what is allowed\n", most);
}

TEST(RetryFleet, SumOfAllLifetimesKeepsToTheBudgetInLargeFleets) {
  for (const int instances : {7, 60, 295, 985}) {
    for (const double share : {0.0, 0.5, 1.0}) {
      RetryFleetSettings settings;
      settings.instances = instances;
      settings.offered = 60 + 0.2 * instances;
      settings.budget.allowance = 54;
      settings.fail_from = seconds(5);
      settings.fail_until = seconds(25);
      settings.length = seconds(30);
      for (int i = 0; i < 5; ++i) {
        settings.kills.push_back(
            {milliseconds(10'000 + 1'700 * i), share, milliseconds(300)});
      }
      const RetryFleetResult result = RunRetryFleet(settings);
      EXPECT_LE(result.most.Fraction(), 1)
          << instances << " instances, " << share
          << " killed: " << result.most.arrivals << " of "
          << result.most.allowed;
    }
  }
}

}  // namespace
}  // namespace lynxglade::bench
