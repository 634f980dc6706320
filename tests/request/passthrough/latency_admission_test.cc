#include "request/passthrough/latency_admission.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/passthrough/route_table.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kLatencyTarget = milliseconds(200);

// Outcomes of the prompts of one run.
struct Tally {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  // Prefilled after their callers had left.
  int too_late = 0;

  int served() const { return in_time + late; }
};

enum class Policy {
  // Refuses prompts that would miss the target.
  kRefuse,
  // Refuses none; all are prefilled in arrival order.
  kFirstInFirstOut,
  kDefer,
};

// One engine that prefills a prompt in 20 ms, most urgent first, and an
// instance that knows its queue.
class SimulatedEngine {
 public:
  explicit SimulatedEngine(Policy policy) : policy_(policy) {}

  void Arrive(base::Duration now) {
    Advance(now);
    const LatencyForecast forecast = ForecastAt(0);
    const bool misses = MissesLatencyTarget(forecast, kLatencyTarget, options_);
    if (policy_ == Policy::kFirstInFirstOut || !misses) {
      waiting_[0].push_back(now);
    } else if (policy_ == Policy::kRefuse ||
               ExceedsCallerTimeout(ForecastAt(kLatePriorityOffset),
                                    kCallerTimeout, options_)) {
      ++tally_.refused;
    } else {
      waiting_[kLatePriorityOffset].push_back(now);
    }
  }
  Tally Finish() {
    Advance(std::chrono::hours(1));
    return tally_;
  }

 private:
  static constexpr base::Duration kPrefill = milliseconds(20);
  static constexpr base::Duration kCallerTimeout = seconds(2);

  // Forecast for a prompt of that priority.
  LatencyForecast ForecastAt(int priority) const {
    base::Duration wait = std::max(free_at_ - now_, base::Duration(0));
    for (const auto& [other, prompts] : waiting_) {
      wait += other <= priority ? std::ssize(prompts) * kPrefill
                                : base::Duration(0);
    }
    return {wait, wait + kPrefill};
  }
  void Advance(base::Duration now) {
    for (auto it = Next(); it != waiting_.end() && free_at_ < now;
         it = Next()) {
      const base::Duration arrived = it->second.front();
      it->second.erase(it->second.begin());
      free_at_ = std::max(free_at_, arrived);
      if (free_at_ - arrived > kCallerTimeout) {
        continue;
      }
      free_at_ += kPrefill;
      const base::Duration took = free_at_ - arrived;
      (took <= kLatencyTarget   ? tally_.in_time
       : took <= kCallerTimeout ? tally_.late
                                : tally_.too_late) += 1;
    }
    now_ = now;
    free_at_ = std::max(free_at_, now);
  }
  std::map<int, std::vector<base::Duration>>::iterator Next() {
    return std::ranges::find_if(
        waiting_, [](const auto& row) { return !row.second.empty(); });
  }

  const Policy policy_;
  const LatencyAdmissionOptions options_;
  base::Duration now_{};
  base::Duration free_at_{};
  std::map<int, std::vector<base::Duration>> waiting_;
  Tally tally_;
};

// Alternates two seconds with a third more prompts than the engine can prefill
// and four seconds with a third of its capacity.
Tally RunBursts(Policy policy) {
  constexpr int kBurst = 133;
  constexpr int kCalm = 64;
  SimulatedEngine engine(policy);
  base::Duration now{};
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < kBurst; ++i) {
      engine.Arrive(now += milliseconds(2'000) / kBurst);
    }
    for (int i = 0; i < kCalm; ++i) {
      engine.Arrive(now += milliseconds(4'000) / kCalm);
    }
  }
  return engine.Finish();
}

// Guards against refusing late prompts during a burst although the engine is
// idle soon after.
TEST(LatencyAdmission, LatePromptsArePrefilledOnceABurstIsOver) {
  const Tally refuse = RunBursts(Policy::kRefuse);
  const Tally fifo = RunBursts(Policy::kFirstInFirstOut);
  const Tally defer = RunBursts(Policy::kDefer);
  // Nearly as many are in time as if late prompts were refused.
  EXPECT_GT(defer.in_time, 0.95 * refuse.in_time);
  EXPECT_GT(defer.in_time, 1.1 * fifo.in_time);
  // Few or none of the late ones are lost.
  EXPECT_GT(refuse.refused, 50);
  EXPECT_LT(defer.refused + defer.too_late, refuse.refused / 10);
}

// For any arrivals, an admitted prompt is prefilled before its caller leaves,
// except a few overtaken by later prompts that can be in time.
RC_GTEST_PROP(LatencyAdmission, FewAdmittedPromptsTimeOut, ()) {
  SimulatedEngine engine(Policy::kDefer);
  base::Duration now{};
  const int n = 600;
  const auto gaps = *rc::gen::container<std::vector<int>>(
      static_cast<std::size_t>(n), rc::gen::inRange(5, 35));
  for (const int gap : gaps) {
    engine.Arrive(now += milliseconds(gap));
  }
  const Tally tally = engine.Finish();
  RC_ASSERT(tally.too_late <= n / 20);
}

TEST(LatencyAdmission, RouteWithoutATargetIsNeverLate) {
  EXPECT_FALSE(
      MissesLatencyTarget({.wait = seconds(9)}, base::Duration(0), {}));
}

// It would be prefilled after its caller has left.
TEST(LatencyAdmission, PromptThatWouldWaitPastItsCallersTimeoutIsRefused) {
  EXPECT_TRUE(
      ExceedsCallerTimeout({.wait = milliseconds(1'100)}, seconds(2), {}));
  EXPECT_FALSE(
      ExceedsCallerTimeout({.wait = milliseconds(900)}, seconds(2), {}));
  EXPECT_TRUE(ExceedsCallerTimeout({.wait = {}, .expected = seconds(3)},
                                   seconds(2), {}));
}

// The caller of a stream leaves after a pause, long before its full timeout.
TEST(LatencyAdmission, EventTimeoutCoversTheFirstEvent) {
  Route route;
  EXPECT_EQ(route.EventTimeout(), seconds(2));
  route.target_latency = milliseconds(800);
  EXPECT_EQ(route.EventTimeout(), milliseconds(3'200));
  route.pause_target = milliseconds(600);
  EXPECT_EQ(route.EventTimeout(), milliseconds(4'800));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
