#include "process/stages/generation_demand.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::stages {
namespace {

using request::passthrough::Engine;
using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kLowBacklog = milliseconds(5);
constexpr base::Duration kHighBacklog = milliseconds(200);

// Twelve engines of 64 slots; the first few decode, the others prefill.
class GenerationDemandTest : public testing::Test {
 protected:
  GenerationDemandTest() {
    for (int i = 0; i < 12; ++i) {
      auto engine = std::make_shared<Engine>();
      engine->entry.id = base::TargetId("e" + std::to_string(i));
      engine->entry.slots = 64;
      engines_.push_back(std::move(engine));
    }
    SetDecodeEngines(3);
  }

  void SetDecodeEngines(int n) {
    for (int i = 0; i < 12; ++i) {
      engines_[i]->entry.stage =
          i < n ? EngineStage::kDecode : EngineStage::kPrefill;
    }
  }
  // Observes `answers` in flight, spread evenly over the decode engines, for
  // `time`.
  void Run(int answers, base::Duration backlog, base::Duration time) {
    int generating = 0;
    for (const EngineHandle& it : engines_) {
      generating += it->entry.stage == EngineStage::kDecode ? 1 : 0;
    }
    for (const base::Time end = now_ + time; now_ < end;
         now_ += milliseconds(500)) {
      for (const EngineHandle& it : engines_) {
        const bool generates = it->entry.stage == EngineStage::kDecode;
        it->reported = {.running = generates ? answers / generating : 0,
                        .waiting = 0,
                        .slots = 64};
        it->reported_at = now_;
      }
      demand_.Observe(engines_, backlog, admitted_fraction_, now_);
    }
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  std::vector<EngineHandle> engines_;
  double admitted_fraction_ = 1;
  GenerationDemand demand_;
};

TEST_F(GenerationDemandTest, KeepsCurrentCountUntilAveragingTimeHasPassed) {
  Run(190, kLowBacklog, seconds(1));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// 190 answers nearly fill the 192 slots of three engines, so that long ones
// miss their time limit. Five engines have 38 answers each.
TEST_F(GenerationDemandTest, AddsEnginesWhenSlotsFillUp) {
  Run(190, kLowBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 5);
}

TEST_F(GenerationDemandTest, AddsNoEnginesDuringPrefillBacklog) {
  Run(190, kHighBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

TEST_F(GenerationDemandTest, ReleasesSpareEnginesDuringPrefillBacklog) {
  SetDecodeEngines(6);
  Run(60, kHighBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// Without a prefill backlog a change would cost time and gain nothing.
TEST_F(GenerationDemandTest, KeepsSpareEnginesWithoutPrefillBacklog) {
  SetDecodeEngines(6);
  Run(10, kLowBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 6);
}

// A burst of a second ends before an engine has changed stage.
TEST_F(GenerationDemandTest, ShortBurstAddsNoEngines) {
  Run(60, kLowBacklog, seconds(8));
  Run(150, kLowBacklog, milliseconds(1'000));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// Guards against overloading slow engines, whose capacity is below their
// slots: 80 answers fit three engines of 64 slots, but not a capacity of 20.
TEST_F(GenerationDemandTest, AddsEnginesWhenCapacityFillsUp) {
  Run(80, kLowBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
  GenerationDemand slow({}, [](const Engine&, base::Time) { return 20.0; });
  for (int i = 0; i < 16; ++i) {
    Run(80, kLowBacklog, milliseconds(500));
    slow.Observe(engines_, kLowBacklog, admitted_fraction_, now_);
  }
  EXPECT_EQ(slow.DesiredEngines(), 5);
}

// Admission keeps three engines at the same number of answers however many more
// are offered, so the answers in flight alone would never ask for another one.
TEST_F(GenerationDemandTest, RejectedAnswersCountTowardsTheDemand) {
  Run(110, kLowBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
  admitted_fraction_ = 0.6;
  Run(110, kLowBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 5);
}

// Callers that return after a rejection are counted again.
TEST_F(GenerationDemandTest, ScalingByRejectedAnswersIsLimited) {
  admitted_fraction_ = 0.01;
  Run(110, kLowBacklog, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 6);
}

// Under constant load the desired count is stable once it has been applied.
RC_GTEST_FIXTURE_PROP(GenerationDemandTest, IsStableUnderConstantLoad, ()) {
  const int answers = *rc::gen::inRange(0, 500);
  const base::Duration backlog = *rc::gen::element(kLowBacklog, kHighBacklog);
  Run(answers, backlog, seconds(30));
  // The plan keeps at least one engine in each stage.
  const auto planned = [this] {
    return std::clamp(demand_.DesiredEngines(), 1, 11);
  };
  const int first = planned();
  SetDecodeEngines(first);
  Run(answers, backlog, seconds(30));
  RC_ASSERT(planned() == first);
}

// Guards against requests that are rejected because all decode engines are at
// the request limits that they name, while prefill engines are idle.
TEST_F(GenerationDemandTest, EnginesWithALimitDoNotCountAsCapacity) {
  Run(60, kLowBacklog, seconds(10));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
  for (int i = 0; i < 3; ++i) {
    engines_[i]->limit.named.Observe(
        {.kind = request::passthrough::LimitStatement::Kind::kNamed,
         .rate = base::PerSecond(5)},
        {now_, now_});
  }
  Run(60, kLowBacklog, seconds(1));
  EXPECT_EQ(demand_.DesiredEngines(), 3 + 2);
  Run(60, kHighBacklog, seconds(10));
  EXPECT_LE(demand_.DesiredEngines(), 5);
}

}  // namespace
}  // namespace lynxglade::process::stages
