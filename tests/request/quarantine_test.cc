#include "request/quarantine.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/quarantine_world.h"

namespace lynxglade::request {
namespace {

// If more than two runs are concurrent from the start, no further run starts.
RC_GTEST_PROP(QuarantineTest,
              PoisonCrashesAtMostTwoTargetsOrItsConcurrentRuns,
              ()) {
  World world(*rc::gen::inRange<std::size_t>(1, 4), 5);
  const auto at_once = *rc::gen::inRange<std::size_t>(1, 4);
  RunTraffic(world, at_once, true);
  RC_CLASSIFY(world.crashes(kPoison) >= 2, "crashed two");
  RC_ASSERT(world.crashes(kPoison) <= std::max<std::size_t>(2, at_once));
}

RC_GTEST_PROP(QuarantineTest, UnstableTargetQuarantinesNoContent, ()) {
  World world(*rc::gen::inRange<std::size_t>(1, 4), 5);
  RunTraffic(world, 0, *rc::gen::arbitrary<bool>());
  for (std::uint64_t i = 1; i <= kHarmless; ++i) {
    RC_ASSERT(!world.IsQuarantinedAnywhere(ContentHash(i)));
  }
}

RC_GTEST_PROP(QuarantineTest,
              HarmlessContentBesidePoisonAndUnstableTargetIsReleased,
              ()) {
  World world(1, 5);
  RunTraffic(world, 1, true);
  // The unstable target keeps crashing, and the poison is sent repeatedly.
  for (int i = 0; i < 40; ++i) {
    world.now += std::chrono::milliseconds(2500);
    if (world.running(kPoison) == 0) {
      world.Send(0, kPoison);
    }
    while (world.running() > 0) {
      world.Finish(0);
    }
    world.at(0).OnTargetCrashed(base::TargetId("t0"), world.now);
  }
  RC_ASSERT(world.crashes(kPoison) <= 2u);
  for (std::uint64_t i = 1; i <= kHarmless; ++i) {
    RC_ASSERT(!world.IsQuarantinedAnywhere(ContentHash(i)));
  }
}

struct Fixture {
  std::vector<process::ViewItem> published;
  Quarantine quarantine{
      QuarantineOptions(), base::InstanceId("self"),
      [this](const process::ViewItem& item) { published.push_back(item); }};
  QuarantineDenial denial{};

  bool Start(std::uint64_t content,
             const char* target,
             const char* attempt,
             base::Time now) {
    return quarantine.TryStart(ContentHash(content), base::TargetId(target),
                               base::AttemptId(attempt), now, &denial);
  }
  void Crash(const char* target, const char* attempt, base::Time now) {
    quarantine.OnLost(base::AttemptId(attempt), now);
    quarantine.OnTargetCrashed(base::TargetId(target), now);
  }
  // Crashes two targets with the content.
  void CrashTwice(std::uint64_t content, base::Time now) {
    ASSERT_TRUE(Start(content, "t1", "first", now));
    Crash("t1", "first", now);
    ASSERT_TRUE(Start(content, "t2", "second", now));
    Crash("t2", "second", now);
  }
};

TEST(QuarantineTest, SuspectRunsAloneAndAvoidsCrashedTargets) {
  Fixture f;
  ASSERT_TRUE(f.Start(1, "t1", "a1", kNow));
  ASSERT_TRUE(f.Start(2, "t1", "a2", kNow));
  f.quarantine.OnLost(base::AttemptId("a1"), kNow);
  f.Crash("t1", "a2", kNow);
  EXPECT_FALSE(f.Start(1, "t1", "b", kNow));
  EXPECT_EQ(f.denial, QuarantineDenial::kTargetCrashedLately);
  EXPECT_TRUE(f.Start(1, "t2", "b", kNow));
  EXPECT_FALSE(f.Start(1, "t3", "c", kNow));
  EXPECT_EQ(f.denial, QuarantineDenial::kSuspectRunning);
  EXPECT_FALSE(f.Start(2, "t2", "c", kNow));
  EXPECT_EQ(f.denial, QuarantineDenial::kTargetHasSuspect);
  EXPECT_TRUE(f.Start(2, "t3", "c", kNow));
  const auto list = f.quarantine.List(kNow);
  ASSERT_EQ(list.size(), 2u);
  EXPECT_EQ(list[0].shared_with, std::vector<int>{2});
  // The content that crashed again is quarantined; the other is cleared.
  f.Crash("t2", "b", kNow);
  EXPECT_TRUE(f.quarantine.IsQuarantined(ContentHash(1), kNow));
  f.quarantine.OnDelivered(base::AttemptId("c"), kNow);
  EXPECT_EQ(f.quarantine.List(kNow).size(), 1u);
  EXPECT_TRUE(f.Start(2, "t3", "d", kNow));
  EXPECT_TRUE(f.Start(2, "t3", "e", kNow)) << "no longer a suspect";
}

TEST(QuarantineTest, LossesThatAreNotCrashesDoNotQuarantine) {
  Fixture f;
  // A network partition: both connections break, the targets keep running.
  ASSERT_TRUE(f.Start(1, "t1", "a", kNow));
  f.quarantine.OnLost(base::AttemptId("a"), kNow);
  ASSERT_TRUE(f.Start(1, "t2", "b", kNow));
  f.quarantine.OnLost(base::AttemptId("b"), kNow);
  EXPECT_FALSE(f.Start(1, "t3", "c", kNow));
  EXPECT_EQ(f.denial, QuarantineDenial::kEvidencePending);
  // A report made before the loss does not refute it.
  const base::TargetId t1("t1");
  f.quarantine.OnTargetAlive(t1, kNow - std::chrono::seconds(1));
  EXPECT_FALSE(f.Start(1, "t3", "c", kNow));
  f.quarantine.OnTargetAlive(t1, kNow + kSameCrashWindow);
  EXPECT_TRUE(f.Start(1, "t3", "c", kNow)) << "one loss is left";
  f.quarantine.OnEnded(base::AttemptId("c"), kNow);
  // The other loss was not confirmed in time.
  const base::Time later = kNow + QuarantineOptions().confirm_timeout;
  EXPECT_TRUE(f.Start(1, "t2", "d", later));
  EXPECT_TRUE(f.Start(1, "t2", "e", later));
}

TEST(QuarantineTest, MarksOutliveTheInstanceExpireAndAreLiftedEverywhere) {
  Fixture one;
  one.CrashTwice(1, kNow);
  // The mark is merged by another instance before the first one is lost.
  Fixture two;
  for (const auto& it : one.published) {
    two.quarantine.Merge(it, kNow);
  }
  EXPECT_FALSE(two.Start(1, "t3", "x", kNow));
  EXPECT_EQ(two.denial, QuarantineDenial::kQuarantined);
  // A third instance receives it when it joins.
  Fixture three;
  for (const auto& it : two.quarantine.Export(kNow)) {
    EXPECT_TRUE(three.quarantine.Merge(it, kNow));
  }
  EXPECT_TRUE(three.quarantine.IsQuarantined(ContentHash(1), kNow));
  const base::Time late = kNow + QuarantineOptions().quarantine_ttl;
  EXPECT_FALSE(three.quarantine.IsQuarantined(ContentHash(1), late));

  two.published.clear();
  EXPECT_TRUE(two.quarantine.Lift(ContentHash(1), kNow));
  EXPECT_FALSE(two.quarantine.Lift(ContentHash(1), kNow));
  ASSERT_FALSE(two.published.empty());
  const auto old_mark = one.published.back();
  for (Fixture* it : {&one, &two}) {
    it->quarantine.Merge(two.published.back(), kNow);
    // A mark from before the lift has no effect.
    EXPECT_FALSE(it->quarantine.Merge(old_mark, kNow));
    EXPECT_TRUE(it->Start(1, "t3", "y", kNow));
  }
}

TEST(QuarantineTest, CrashesSeenByTwoInstancesAddUp) {
  Fixture one;
  std::vector<process::ViewItem> other_published;
  Quarantine other({}, base::InstanceId("other"),
                   [&other_published](const auto& item) {
                     other_published.push_back(item);
                   });
  QuarantineDenial denial{};
  ASSERT_TRUE(one.Start(1, "t1", "a", kNow));
  ASSERT_TRUE(other.TryStart(ContentHash(1), base::TargetId("t2"),
                             base::AttemptId("b"), kNow, &denial));
  one.Crash("t1", "a", kNow);
  other.OnLost(base::AttemptId("b"), kNow);
  other.OnTargetCrashed(base::TargetId("t2"), kNow);
  one.quarantine.Merge(other_published.back(), kNow);
  EXPECT_TRUE(one.quarantine.IsQuarantined(ContentHash(1), kNow));
  // The merged mark is published back to the other instance.
  EXPECT_TRUE(other.Merge(one.published.back(), kNow));
  EXPECT_TRUE(other.IsQuarantined(ContentHash(1), kNow));
}

TEST(QuarantineTest, RejectsMalformedMarks) {
  Fixture f;
  process::ViewItem item;
  item.kind = process::ViewKind::kQuarantine;
  item.key = "00000000000000zz";
  item.body = "{}";
  EXPECT_FALSE(f.quarantine.Merge(item, kNow));
  item.key = "000000000000000a";
  for (const char* body : {"", "[]", "{\"owner\":7}", "{\"evidence\":[3]}",
                           "{\"expires_ms\":\"x\"}"}) {
    item.body = body;
    EXPECT_FALSE(f.quarantine.Merge(item, kNow)) << body;
  }
  EXPECT_TRUE(f.quarantine.List(kNow).empty());
}

}  // namespace
}  // namespace lynxglade::request
