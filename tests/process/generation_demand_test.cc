#include "process/generation_demand.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process {
namespace {

using request::passthrough::Engine;
using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kCalm = milliseconds(5);
constexpr base::Duration kBusy = milliseconds(200);

// Twelve engines of 64 slots, some of which generate.
class GenerationDemandTest : public testing::Test {
 protected:
  GenerationDemandTest() {
    for (int i = 0; i < 12; ++i) {
      auto engine = std::make_shared<Engine>();
      engine->entry.id = base::TargetId("e" + std::to_string(i));
      engine->entry.slots = 64;
      engines_.push_back(std::move(engine));
    }
    Generate(3);
  }

  void Generate(int n) {
    for (int i = 0; i < 12; ++i) {
      engines_[i]->entry.stage =
          i < n ? EngineStage::kDecode : EngineStage::kPrefill;
    }
  }
  // So many answers in all, evenly spread, for a time.
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
      demand_.Observe(engines_, backlog, now_);
    }
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  std::vector<EngineHandle> engines_;
  GenerationDemand demand_;
};

TEST_F(GenerationDemandTest, KeepsWhatIsThereUntilEnoughWasSeen) {
  Run(190, kCalm, seconds(1));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// The pattern: long answers come for ten seconds, 190 at a time where three
// engines have 192 slots; the longest then take 20 s and may take 15. Two more
// engines bring them to 38 each.
TEST_F(GenerationDemandTest, AnswersThatFillTheirEnginesAskForMore) {
  Run(190, kCalm, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 5);
}

TEST_F(GenerationDemandTest, NoReaderIsTakenFromPromptsThatWait) {
  Run(190, kBusy, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// Prompts come instead: engines go back as soon as the answers fit the rest.
TEST_F(GenerationDemandTest, EnginesGoBackToPromptsThatWait) {
  Generate(6);
  Run(60, kBusy, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// Nothing is gained by a change that nobody waits for.
TEST_F(GenerationDemandTest, EnginesStayWhileNoPromptWaits) {
  Generate(6);
  Run(10, kCalm, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 6);
}

// A burst of a second is over before an engine has changed.
TEST_F(GenerationDemandTest, AShortBurstAsksForNothing) {
  Run(60, kCalm, seconds(8));
  Run(150, kCalm, milliseconds(1'000));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
}

// Guards against: slow engines that are filled until their largest answers end
// late, while no other is asked to generate. 80 answers are few for three
// engines of 64 slots, and many for three that are to have 20 each.
TEST_F(GenerationDemandTest, AnswersThatFillTheRoomAskForMore) {
  Run(80, kCalm, seconds(8));
  EXPECT_EQ(demand_.DesiredEngines(), 3);
  GenerationDemand slow({}, [](const Engine&, base::Time) { return 20.0; });
  for (int i = 0; i < 16; ++i) {
    Run(80, kCalm, milliseconds(500));
    slow.Observe(engines_, kCalm, now_);
  }
  EXPECT_EQ(slow.DesiredEngines(), 5);
}

// However the load stands still, the plan does, too: following it once leaves
// nothing to follow.
RC_GTEST_FIXTURE_PROP(GenerationDemandTest, FollowsASteadyLoadOnce, ()) {
  const int answers = *rc::gen::inRange(0, 500);
  const base::Duration backlog = *rc::gen::element(kCalm, kBusy);
  Run(answers, backlog, seconds(30));
  // One engine generates and one reads at least, whatever is asked for.
  const auto planned = [this] {
    return std::clamp(demand_.DesiredEngines(), 1, 11);
  };
  const int first = planned();
  Generate(first);
  Run(answers, backlog, seconds(30));
  RC_ASSERT(planned() == first);
}

}  // namespace
}  // namespace lynxglade::process
