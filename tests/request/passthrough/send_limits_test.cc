#include "request/passthrough/send_limits.h"

#include <algorithm>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ZoneId kZone("a");
constexpr double kLimit = 4.6;

// One instance of several before one target.
class SendLimitsTest : public testing::Test {
 protected:
  SendLimitsTest() { engine_.entry.zone = kZone; }

  void SetFleet(int instances) {
    members_.clear();
    for (int i = 0; i < instances; ++i) {
      members_.push_back({base::InstanceId("i" + std::to_string(i)), kZone});
    }
    ++members_version_;
  }
  void Name(double limit) {
    limits_.Observe(
        engine_,
        {.kind = LimitStatement::Kind::kNamed, .rate = base::PerSecond(limit)},
        {now_, now_}, "r1");
  }
  void End() { limits_.Observe(engine_, {}, {now_, now_}, "r1"); }
  bool TrySend() {
    if (!limits_.MaySend(engine_, now_)) {
      return false;
    }
    limits_.OnSend(engine_, now_);
    return true;
  }
  // Sends what is permitted for `time` and returns how much that is.
  int SendFor(base::Duration time) {
    constexpr base::Duration kStep = milliseconds(10);
    int n = 0;
    for (const base::Time end = now_ + time; now_ < end; now_ += kStep) {
      n += TrySend() ? 1 : 0;
    }
    return n;
  }
  LimitShare Share(const base::TargetId& target) const {
    return SelectLimitShare(base::PerSecond(kLimit), target, kZone,
                            base::InstanceId("i0"),
                            {members_, static_cast<int>(members_.size())});
  }
  // Chooses a target of which this instance is a sender, or is none.
  void ChooseTarget(bool as_sender) {
    int i = 0;
    do {
      engine_.entry.id = base::TargetId("t" + std::to_string(i++));
    } while (Share(engine_.entry.id).is_sender != as_sender);
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  std::vector<FleetMember> members_{{base::InstanceId("i0"), kZone}};
  std::uint64_t members_version_ = 1;
  base::Duration view_age_{};
  base::Metrics metrics_;
  SendLimits limits_{
      {.instance = base::InstanceId("i0")},
      {.members = [this] { return members_; },
       .members_version = [this] { return members_version_; },
       .instance_count = [this] { return static_cast<int>(members_.size()); },
       .view_age = [this] { return view_age_; }},
      [this] { return now_; },
      metrics_};
  Engine engine_;
};

TEST_F(SendLimitsTest, WithoutALimitEverythingMayBeSent) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(TrySend());
  }
}

TEST_F(SendLimitsTest, RequestsAreSpacedByTheShare) {
  SetFleet(4);
  Name(8);
  // One more at the beginning.
  EXPECT_EQ(SendFor(seconds(10)), 21);
  EXPECT_EQ(SendFor(seconds(10)), 20);
}

// The sum over the senders relies on it.
TEST_F(SendLimitsTest, WindowHoldsOneRequestMoreThanTheShareAtMost) {
  for (const double limit : {0.5, 1.0, 4.6, 8.0, 33.3}) {
    Name(limit);
    std::vector<base::Time> sent;
    // Idle at times, so that the share is saved up.
    for (int i = 0; i < 6000; ++i, now_ += milliseconds(10)) {
      const bool idle = i / 700 % 2 == 1;
      if (!idle && TrySend()) {
        sent.push_back(now_);
      }
    }
    for (auto it = sent.begin(); it != sent.end(); ++it) {
      const auto end = std::lower_bound(it, sent.end(), *it + kLimitWindow);
      EXPECT_LE(static_cast<double>(end - it), 4 * limit + 1) << limit;
    }
    now_ += seconds(10);
  }
}

// What was sent before the limit was lowered counts in the window as well.
TEST_F(SendLimitsTest, LowerLimitWaitsUntilEarlierRequestsLeaveTheWindow) {
  Name(50);
  SendFor(seconds(4));
  Name(2);
  EXPECT_EQ(SendFor(milliseconds(3500)), 0);
  EXPECT_NEAR(SendFor(seconds(10)), 20, 1);
}

TEST_F(SendLimitsTest, EndedLimitNoLongerHoldsBack) {
  Name(1);
  EXPECT_TRUE(TrySend());
  EXPECT_TRUE(TrySend());
  EXPECT_FALSE(TrySend());
  now_ += milliseconds(1);
  End();
  EXPECT_TRUE(TrySend());
}

TEST_F(SendLimitsTest, NextSendSaysWhenAShareIsFree) {
  Name(2);
  EXPECT_EQ(limits_.NextSend(engine_, now_), now_);
  EXPECT_TRUE(TrySend());
  EXPECT_TRUE(TrySend());
  EXPECT_EQ(limits_.NextSend(engine_, now_), now_ + milliseconds(500));
}

TEST_F(SendLimitsTest, ANewLifetimeStartsWithoutALimit) {
  EngineTable table{base::Duration(0)};
  EngineEntry entry;
  entry.id = base::TargetId("t1");
  entry.start_time = base::StartMillis(1);
  table.Put(entry, now_);
  const EngineHandle old = table.Find(entry.id);
  limits_.Observe(
      *old, {.kind = LimitStatement::Kind::kNamed, .rate = base::PerSecond(0)},
      {now_, now_}, "r1");
  limits_.OnSend(*old, now_);
  EXPECT_FALSE(limits_.MaySend(*old, now_));
  entry.start_time = base::StartMillis(2);
  table.Put(entry, now_);
  EXPECT_TRUE(limits_.MaySend(*table.Find(entry.id), now_));
}

// The instance that it replaces may not know of the change yet.
TEST_F(SendLimitsTest, NewSenderWaitsForTheOneItReplaces) {
  SetFleet(60);
  ChooseTarget(/*as_sender=*/false);
  now_ += seconds(60);
  Name(kLimit);
  SendFor(seconds(4));
  int instances = 59;
  do {
    SetFleet(instances--);
  } while (!Share(engine_.entry.id).is_sender);
  ASSERT_GT(instances, 5);
  EXPECT_EQ(SendFor(seconds(8)), 0);
  EXPECT_GT(SendFor(seconds(8)), 3);
}

TEST_F(SendLimitsTest, StartedInstanceWaitsBeforeItSends) {
  SetFleet(60);
  ChooseTarget(/*as_sender=*/true);
  Name(kLimit);
  EXPECT_EQ(SendFor(seconds(8)), 0);
  EXPECT_GT(SendFor(seconds(8)), 3);
}

// Once the lease of its key has ended, others have replaced it.
TEST_F(SendLimitsTest, SenderWithAnOldViewOfTheFleetStops) {
  SetFleet(60);
  ChooseTarget(/*as_sender=*/true);
  now_ += seconds(60);
  Name(kLimit);
  EXPECT_GT(SendFor(seconds(8)), 3);
  view_age_ = seconds(20);
  EXPECT_EQ(SendFor(seconds(8)), 0);
  view_age_ = seconds(1);
  EXPECT_GT(SendFor(seconds(8)), 3);
}

TEST_F(SendLimitsTest, OtherInstancesOnlyProbe) {
  SetFleet(60);
  ChooseTarget(/*as_sender=*/false);
  now_ += seconds(60);
  Name(kLimit);
  const LimitShare share = Share(engine_.entry.id);
  EXPECT_EQ(SendFor(share.probe_cycle), 1);
  EXPECT_EQ(SendFor(share.probe_cycle), 1);
}

TEST_F(SendLimitsTest, UnreadableLimitLeavesProbes) {
  limits_.Observe(engine_, {.kind = LimitStatement::Kind::kMalformed},
                  {now_, now_}, "r1");
  EXPECT_TRUE(TrySend());
  EXPECT_EQ(SendFor(seconds(4)), 0);
  EXPECT_EQ(SendFor(seconds(4)), 1);
}

// Guards against prompts that are prefilled in vain, as no target accepts the
// request afterwards.
TEST_F(SendLimitsTest, ClaimsAreBoundedByWhatTargetsWillPermit) {
  const base::ServiceName service("s");
  const std::vector<EngineHandle> targets{std::make_shared<Engine>(),
                                          std::make_shared<Engine>()};
  const auto may_claim = [&] {
    return limits_.MayClaim(service, targets, seconds(1), now_);
  };
  EXPECT_TRUE(may_claim());
  limits_.Observe(
      *targets[0],
      {.kind = LimitStatement::Kind::kNamed, .rate = base::PerSecond(2)},
      {now_, now_}, "r1");
  std::list<SendLimits::Claim> claims;
  for (int i = 0; i < 10; ++i) {
    claims.emplace_back(limits_, service);
  }
  // One target has no limit.
  EXPECT_TRUE(may_claim());
  limits_.Observe(
      *targets[1],
      {.kind = LimitStatement::Kind::kNamed, .rate = base::PerSecond(1)},
      {now_, now_}, "r1");
  EXPECT_FALSE(may_claim());
  // Within a second: one now and two more, and one now and another one.
  while (claims.size() > 4) {
    claims.pop_back();
  }
  EXPECT_TRUE(may_claim());
  claims.emplace_back(limits_, service);
  EXPECT_FALSE(may_claim());
}

}  // namespace
}  // namespace lynxglade::request::passthrough
