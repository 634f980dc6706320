// The quarantine with the options of a fleet of relays before opaque requests.
#include "request/passthrough/quarantine_options.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/quarantine_world.h"

namespace lynxglade::request {
namespace {

using passthrough::FleetQuarantineOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that crashes engine after engine: one crash that
// makes it a suspect, or as many as ran at once, one beside other suspects, and
// one alone.
RC_GTEST_PROP(FleetQuarantineTest, PoisonCrashesAtMostThreeTargets, ()) {
  World world(*rc::gen::inRange<std::size_t>(1, 8), 8,
              FleetQuarantineOptions());
  const auto at_once = *rc::gen::inRange<std::size_t>(1, 4);
  RunTraffic(world, at_once, true);
  RC_CLASSIFY(world.crashes(kPoison) >= 2, "crashed two");
  RC_ASSERT(world.crashes(kPoison) <= std::max<std::size_t>(3, at_once + 1));
}

// Guards against innocents that are refused for good: however often targets
// crash for another cause, also all at once, each content is served again after
// one quarantine without them.
RC_GTEST_PROP(FleetQuarantineTest,
              CrashesOfOtherCausesRefuseNothingForGood,
              ()) {
  World world(*rc::gen::inRange<std::size_t>(1, 4), 5,
              FleetQuarantineOptions());
  const int rounds = *rc::gen::inRange(1, 6);
  for (int i = 0; i < rounds; ++i) {
    RunTraffic(world, 0, *rc::gen::arbitrary<bool>());
    for (std::size_t target = 0; target < 5; ++target) {
      world.Crash(target);
    }
    world.DeliverAll();
    world.now += seconds(*rc::gen::inRange(0, 10));
  }
  world.now += FleetQuarantineOptions().quarantine_ttl;
  for (std::uint64_t it = 1; it <= kHarmless; ++it) {
    RC_ASSERT(world.Send(0, ContentHash(it)));
    world.Finish(world.running() - 1);
    world.DeliverAll();
  }
}

class FleetQuarantineUnitTest : public testing::Test {
 protected:
  bool Start(std::uint64_t content,
             const char* target,
             const char* attempt,
             base::Time now) {
    return quarantine_.TryStart(ContentHash(content), base::TargetId(target),
                                base::AttemptId(attempt), now, &denial_);
  }
  void Crash(const char* target,
             const std::vector<const char*>& attempts,
             base::Time now) {
    std::ranges::for_each(attempts, [&](const char* it) {
      quarantine_.OnLost(base::AttemptId(it), now);
    });
    quarantine_.OnTargetCrashed(base::TargetId(target), now);
  }
  bool IsQuarantined(std::uint64_t content, base::Time now) {
    return quarantine_.IsQuarantined(ContentHash(content), now);
  }
  // Quarantines the content by two crashes.
  void CrashTwice(std::uint64_t content, base::Time now) {
    ASSERT_TRUE(Start(content, "t1", "first", now));
    Crash("t1", {"first"}, now);
    ASSERT_TRUE(Start(content, "t2", "second", now));
    Crash("t2", {"second"}, now);
    ASSERT_TRUE(IsQuarantined(content, now));
  }

  std::vector<QuarantineEvent> events_;
  Quarantine quarantine_{
      FleetQuarantineOptions(),
      base::InstanceId("self"),
      {},
      [this](const QuarantineEvent& it) { events_.push_back(it); }};
  QuarantineDenial denial_{};
};

// Guards against innocents that are refused: streams of one crash are resumed
// at once at the targets that are left, and a second crash condemns none.
TEST_F(FleetQuarantineUnitTest, ContentsOfOneCrashAreRerunTogether) {
  ASSERT_TRUE(Start(1, "t1", "a1", kNow));
  ASSERT_TRUE(Start(2, "t1", "a2", kNow));
  Crash("t1", {"a1", "a2"}, kNow);
  ASSERT_TRUE(Start(1, "t2", "b1", kNow));
  ASSERT_TRUE(Start(2, "t2", "b2", kNow));
  Crash("t2", {"b1", "b2"}, kNow);
  EXPECT_FALSE(IsQuarantined(1, kNow));
  EXPECT_FALSE(IsQuarantined(2, kNow));
  // From now on each needs a target of its own, and the next crash is
  // conclusive.
  ASSERT_TRUE(Start(1, "t3", "c1", kNow));
  EXPECT_FALSE(Start(2, "t3", "c2", kNow));
  EXPECT_EQ(denial_, QuarantineDenial::kTargetHasSuspect);
  ASSERT_TRUE(Start(2, "t4", "c2", kNow));
  Crash("t3", {"c1"}, kNow);
  quarantine_.OnDelivered(base::AttemptId("c2"), kNow);
  EXPECT_TRUE(IsQuarantined(1, kNow));
  EXPECT_TRUE(Start(2, "t4", "d", kNow));
}

// Guards against innocents that are refused: streams that had run for a while
// at two targets that crashed one after the other.
TEST_F(FleetQuarantineUnitTest, CrashesDuringAnAnswerTakeOneMore) {
  for (const char* target : {"t1", "t2", "t3"}) {
    EXPECT_FALSE(IsQuarantined(1, kNow)) << target;
    ASSERT_TRUE(Start(1, target, target, kNow));
    quarantine_.OnLost(base::AttemptId(target), kNow, /*answering=*/true);
    quarantine_.OnTargetCrashed(base::TargetId(target), kNow);
  }
  EXPECT_TRUE(IsQuarantined(1, kNow));
}

// Guards against innocents that are refused: a call that many callers send is
// in flight in many crashes.
TEST_F(FleetQuarantineUnitTest, ContentWithRecentAnswersIsNotSuspected) {
  ASSERT_TRUE(Start(1, "t1", "a", kNow));
  quarantine_.OnDelivered(base::AttemptId("a"), kNow);
  for (const char* target : {"t1", "t2", "t3"}) {
    ASSERT_TRUE(Start(1, target, target, kNow + seconds(1)));
    Crash(target, {target}, kNow + seconds(1));
  }
  EXPECT_EQ(quarantine_.Count(kNow + seconds(1)).suspects, 0u);
  const base::Time later = kNow + 2 * FleetQuarantineOptions().answered_memory;
  ASSERT_TRUE(Start(1, "t4", "b", later));
  Crash("t4", {"b"}, later);
  EXPECT_EQ(quarantine_.Count(later).suspects, 1u);
}

TEST_F(FleetQuarantineUnitTest, AnyInstanceRerunsASuspectAtOnce) {
  ASSERT_TRUE(Start(1, "t1", "a", kNow));
  Crash("t1", {"a"}, kNow);
  Quarantine other(FleetQuarantineOptions(), base::InstanceId("other"), {});
  for (const auto& it : quarantine_.Export(kNow)) {
    other.Merge(it, kNow);
  }
  EXPECT_FALSE(other.Check(ContentHash(1), kNow));
  EXPECT_TRUE(other.TryStart(ContentHash(1), base::TargetId("t2"),
                             base::AttemptId("b"), kNow, &denial_));
  // Its claim keeps the others from a rerun at the same time.
  for (const auto& it : other.Export(kNow)) {
    quarantine_.Merge(it, kNow);
  }
  EXPECT_EQ(quarantine_.Check(ContentHash(1), kNow),
            QuarantineDenial::kSuspectElsewhere);
  EXPECT_FALSE(quarantine_.Check(ContentHash(1),
                                 kNow + FleetQuarantineOptions().rerun_lease));
}

TEST_F(FleetQuarantineUnitTest, LiveTargetRefutesALossSoonAfterIt) {
  ASSERT_TRUE(Start(1, "t1", "a", kNow));
  quarantine_.OnLost(base::AttemptId("a"), kNow);
  ASSERT_TRUE(Start(1, "t2", "b", kNow));
  quarantine_.OnLost(base::AttemptId("b"), kNow);
  EXPECT_EQ(quarantine_.Check(ContentHash(1), kNow),
            QuarantineDenial::kEvidencePending);
  const base::Time later = kNow + FleetQuarantineOptions().alive_margin;
  quarantine_.OnTargetAlive(base::TargetId("t1"), later);
  quarantine_.OnTargetAlive(base::TargetId("t2"), later);
  EXPECT_FALSE(quarantine_.Check(ContentHash(1), later));
  EXPECT_EQ(quarantine_.Count(later).suspects, 0u);
}

// A lift or an expiry forgets the evidence, but not that there was a verdict.
TEST_F(FleetQuarantineUnitTest, OneCrashAfterAQuarantineIsConclusive) {
  CrashTwice(1, kNow);
  EXPECT_EQ(quarantine_.TimeLeft(ContentHash(1), kNow),
            FleetQuarantineOptions().first_quarantine_ttl);
  const base::Time later = kNow + FleetQuarantineOptions().first_quarantine_ttl;
  EXPECT_FALSE(IsQuarantined(1, later));
  ASSERT_TRUE(Start(1, "t3", "c", later));
  Crash("t3", {"c"}, later);
  EXPECT_TRUE(IsQuarantined(1, later));
  EXPECT_EQ(quarantine_.TimeLeft(ContentHash(1), later),
            FleetQuarantineOptions().quarantine_ttl);

  EXPECT_TRUE(quarantine_.Lift(ContentHash(1), later));
  EXPECT_FALSE(quarantine_.Lift(ContentHash(1), later));
  ASSERT_TRUE(Start(1, "t4", "d", later + seconds(5)));
  quarantine_.OnDelivered(base::AttemptId("d"), later + seconds(6));
  EXPECT_EQ(quarantine_.Count(later + seconds(6)).suspects, 0u);
}

// Guards against a request that crashes one target more: a rerun that is to
// decide, beside which another suspect was started, decides nothing.
TEST_F(FleetQuarantineUnitTest, NoSuspectJoinsALoneRerun) {
  ASSERT_TRUE(Start(1, "t1", "a1", kNow));
  ASSERT_TRUE(Start(1, "t2", "a2", kNow));
  ASSERT_TRUE(Start(2, "t2", "b1", kNow));
  Crash("t1", {"a1"}, kNow);
  Crash("t2", {"a2", "b1"}, kNow);
  ASSERT_TRUE(Start(1, "t3", "a3", kNow));
  EXPECT_FALSE(Start(2, "t3", "b2", kNow));
  EXPECT_EQ(denial_, QuarantineDenial::kTargetHasSuspect);
  EXPECT_TRUE(Start(2, "t4", "b3", kNow));
  EXPECT_TRUE(Start(3, "t3", "c1", kNow));
  Crash("t3", {"a3", "c1"}, kNow);
  EXPECT_TRUE(IsQuarantined(1, kNow));
}

// The crashes of quarantined content that ran through other instances do not
// release it.
TEST_F(FleetQuarantineUnitTest, CrashesSeenBesidePoisonDoNotReleaseIt) {
  Quarantine other(FleetQuarantineOptions(), base::InstanceId("other"), {});
  const auto exchange = [&](base::Time now) {
    for (const auto& it : other.Export(now)) {
      quarantine_.Merge(it, now);
    }
  };
  for (int i = 0; i < 3; ++i) {
    const base::Time now = kNow + i * seconds(10);
    const base::AttemptId attempt("p" + std::to_string(i));
    const std::string harmless = "h" + std::to_string(i);
    const bool runs =
        other.TryStart(kPoison, base::TargetId("t1"), attempt, now, &denial_);
    ASSERT_EQ(runs, i < 2);
    ASSERT_TRUE(
        Start(10 + static_cast<std::uint64_t>(i), "t1", harmless.c_str(), now));
    if (runs) {
      other.OnLost(attempt, now);
      other.OnTargetCrashed(base::TargetId("t1"), now);
      Crash("t1", {harmless.c_str()}, now);
    }
    exchange(now);
  }
  const base::Time later = kNow + seconds(30);
  ASSERT_TRUE(Start(20, "t2", "x", later));
  Crash("t2", {"x"}, later);
  EXPECT_TRUE(quarantine_.IsQuarantined(kPoison, later));
}

// Guards against requests that crash engine after engine for hours: several of
// them do not make the targets count as unstable, which would release them all.
TEST_F(FleetQuarantineUnitTest, EachPoisonOfManyCostsOneTargetAQuarantine) {
  constexpr auto kLength = std::chrono::minutes(30);
  Quarantine other(FleetQuarantineOptions(), base::InstanceId("other"), {});
  const auto exchange = [](Quarantine& from, Quarantine& to, base::Time now) {
    for (const auto& it : from.Export(now)) {
      to.Merge(it, now);
    }
  };
  std::map<std::uint64_t, int> crashes;
  std::uint64_t sent = 0;
  for (base::Duration at{}; at < kLength; at += seconds(2)) {
    const base::Time now = kNow + at;
    // Sent through both instances in turn; each has a harmless request at the
    // target.
    const std::uint64_t poison = 1 + ++sent % 7;
    const base::TargetId target("t" + std::to_string(sent % 4));
    Quarantine& first = sent % 2 == 0 ? quarantine_ : other;
    Quarantine& second = sent % 2 == 0 ? other : quarantine_;
    const base::AttemptId run("p");
    const base::AttemptId beside("h");
    if (!first.TryStart(ContentHash(poison), target, run, now, &denial_)) {
      continue;
    }
    ++crashes[poison];
    ASSERT_TRUE(second.TryStart(ContentHash(1000 + sent), target, beside, now,
                                &denial_));
    first.OnLost(run, now);
    second.OnLost(beside, now);
    first.OnTargetCrashed(target, now);
    second.OnTargetCrashed(target, now);
    exchange(first, second, now);
    exchange(second, first, now);
  }
  for (const auto& [poison, n] : crashes) {
    EXPECT_LE(n, 3 + kLength / FleetQuarantineOptions().quarantine_ttl)
        << poison;
  }
}

TEST_F(FleetQuarantineUnitTest, ChangesAreReportedWithTheirEvidence) {
  CrashTwice(1, kNow);
  ASSERT_EQ(events_.size(), 3u);
  EXPECT_EQ(events_[0].change, QuarantineChange::kSuspected);
  EXPECT_EQ(events_[2].change, QuarantineChange::kQuarantined);
  EXPECT_EQ(events_[2].confirmed, 2u);
  EXPECT_EQ(events_[2].alone, 1u);
  EXPECT_TRUE(events_[2].own_evidence);
  EXPECT_FALSE(events_[2].merged);
}

// A flood of new suspects does not displace marks with more evidence.
TEST_F(FleetQuarantineUnitTest, FullQuarantineDropsTheLeastEvidence) {
  QuarantineOptions options = FleetQuarantineOptions();
  options.max_marks = 3;
  Quarantine small(options, base::InstanceId("small"), {});
  for (const char* target : {"t1", "t2"}) {
    const base::AttemptId attempt(target);
    ASSERT_TRUE(small.TryStart(kPoison, base::TargetId(target), attempt, kNow,
                               &denial_));
    small.OnLost(attempt, kNow);
    small.OnTargetCrashed(base::TargetId(target), kNow);
  }
  for (std::uint64_t i = 1; i <= 10; ++i) {
    const base::AttemptId attempt(std::to_string(i));
    ASSERT_TRUE(small.TryStart(ContentHash(i), base::TargetId("t9"), attempt,
                               kNow + milliseconds(i), &denial_));
    small.OnLost(attempt, kNow + milliseconds(i));
  }
  EXPECT_TRUE(small.IsQuarantined(kPoison, kNow + milliseconds(20)));
  EXPECT_LE(small.Count(kNow + milliseconds(20)).suspects, 2u);
}

}  // namespace
}  // namespace lynxglade::request
