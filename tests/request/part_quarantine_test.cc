// Requests that share a part of their prompts which crashes targets, with the
// options of a fleet of relays.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "request/passthrough/quarantine_options.h"
#include "request/quarantine.h"

namespace lynxglade::request {
namespace {

using passthrough::FleetQuarantineOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ContentHash kFirst(10, 1);
constexpr ContentHash kCompanion(10, 2);
constexpr ContentHash kBad(10, 3);
constexpr ContentHash kOther(10, 4);
constexpr std::uint32_t kAttacker = 7;
constexpr std::uint32_t kVictim = 9;
constexpr base::Duration kRunTime = milliseconds(80);
constexpr base::Duration kGap = seconds(1);

class PartQuarantineTest : public testing::Test {
 protected:
  // A run of new content with these parts.
  struct Run {
    base::AttemptId attempt;
    std::string target;
  };

  RunIdentity NewRequest(const std::vector<ContentHash>& parts,
                         std::uint32_t organisation = 0) {
    return {ContentHash(1, ++contents_), parts, organisation};
  }
  // Starts at a target of its own.
  std::optional<Run> Start(Quarantine& at, const RunIdentity& identity) {
    Run run{base::AttemptId(std::to_string(++runs_)),
            "t" + std::to_string(runs_)};
    if (!at.TryStart(identity, base::TargetId(run.target), run.attempt, now_,
                     &denial_)) {
      return std::nullopt;
    }
    return run;
  }
  std::optional<Run> Start(const std::vector<ContentHash>& parts,
                           std::uint32_t organisation = 0) {
    return Start(quarantine_, NewRequest(parts, organisation));
  }
  void Crash(const Run& run) {
    now_ += kRunTime;
    quarantine_.OnLost(run.attempt, now_);
    quarantine_.OnTargetCrashed(base::TargetId(run.target), now_);
    now_ += kGap;
  }
  void Answer(const Run& run) {
    quarantine_.OnAnswering(run.attempt, now_);
    now_ += kRunTime;
    quarantine_.OnDelivered(run.attempt, now_);
  }
  // Sends such requests, which crash their targets, until one is refused or
  // `most` have run. Returns how many ran.
  int CrashTargets(const std::vector<ContentHash>& parts,
                   int most,
                   std::uint32_t organisation = 0) {
    for (int i = 0; i < most; ++i) {
      const auto run = Start(parts, organisation);
      if (!run) {
        return i;
      }
      Crash(*run);
    }
    return most;
  }
  bool IsRefused(const std::vector<ContentHash>& parts,
                 std::uint32_t organisation = 0) {
    return quarantine_.Check(NewRequest(parts, organisation), now_) ==
           QuarantineDenial::kQuarantined;
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  std::uint64_t contents_ = 0;
  int runs_ = 0;
  std::vector<QuarantineEvent> events_;
  Quarantine quarantine_{
      FleetQuarantineOptions(),
      base::InstanceId("self"),
      {},
      [this](const QuarantineEvent& it) { events_.push_back(it); }};
  QuarantineDenial denial_{};
};

// Guards against BUDGET: requests that share one part and nothing else.
TEST_F(PartQuarantineTest, TwoCrashesQuarantineAPartWhateverElseARequestHas) {
  for (const ContentHash companion : {kCompanion, kOther}) {
    const auto sound = Start({kFirst, companion});
    const auto run = Start({kFirst, companion, kBad});
    ASSERT_TRUE(run && sound);
    Crash(*run);
    Answer(*sound);
    const auto later = Start({kFirst});
    ASSERT_TRUE(later);
    Answer(*later);
  }
  EXPECT_TRUE(IsRefused({kBad, kFirst}));
  EXPECT_TRUE(IsRefused({ContentHash(10, 99), kBad}));
  EXPECT_EQ(Start({kOther, kBad}), std::nullopt);
  EXPECT_FALSE(IsRefused({kFirst, kCompanion}));
  EXPECT_FALSE(IsRefused({kFirst, kOther}));
}

// Guards against LOST: a part that all requests have is in each crash.
TEST_F(PartQuarantineTest, AnswersAfterACrashSpeakForAPart) {
  for (int i = 0; i < 20; ++i) {
    const auto run = Start({kFirst});
    ASSERT_TRUE(run) << "after crash " << i;
    Crash(*run);
    for (int n = 0; n < 3; ++n) {
      const auto sound = Start({kFirst});
      ASSERT_TRUE(sound) << "after crash " << i;
      Answer(*sound);
    }
  }
}

// Answers from before the first crash do not: it may have been harmless.
TEST_F(PartQuarantineTest, PartThatWasHarmlessIsQuarantined) {
  for (int n = 0; n < 5; ++n) {
    const auto run = Start({kFirst, kBad});
    ASSERT_TRUE(run);
    Answer(*run);
  }
  EXPECT_EQ(CrashTargets({kOther, kBad}, 10), 2);
}

TEST_F(PartQuarantineTest, PartThatCrashesEveryOtherTargetIsQuarantined) {
  int crashes = 0;
  for (int i = 0; i < 20; ++i) {
    const auto run = Start({kOther, kBad});
    if (!run) {
      break;
    }
    if (i % 2 == 0) {
      Crash(*run);
      ++crashes;
    } else {
      Answer(*run);
    }
  }
  EXPECT_LE(crashes, 3);
}

// Nothing tells them apart until a request has only one of them.
TEST_F(PartQuarantineTest, OfTwoPartsThatComeTogetherOneIsTried) {
  ASSERT_EQ(CrashTargets({kCompanion, kBad}, 10), 2);
  EXPECT_TRUE(IsRefused({kCompanion, kBad}));
  const auto trial = Start({kCompanion});
  ASSERT_TRUE(trial);
  // One at a time.
  EXPECT_EQ(Start({kCompanion}), std::nullopt);
  EXPECT_EQ(denial_, QuarantineDenial::kSuspectRunning);
  Answer(*trial);
  now_ += FleetQuarantineOptions().verdict_delay;
  EXPECT_TRUE(Start({kCompanion}));
  EXPECT_TRUE(Start({kCompanion}));
  EXPECT_TRUE(IsRefused({kBad}));
}

// Guards against an instance that did not receive one message of a crash, and
// ended the verdict on a part at all instances.
TEST_F(PartQuarantineTest, MissingEvidenceEndsNoVerdict) {
  std::vector<Run> runs;
  for (int i = 0; i < 3; ++i) {
    runs.push_back(*Start({kCompanion, kBad}));
  }
  std::vector<QuarantineEvent> events;
  Quarantine other(FleetQuarantineOptions(), base::InstanceId("other"), {},
                   [&](const QuarantineEvent& it) { events.push_back(it); });
  for (const Run& it : runs) {
    Crash(it);
    quarantine_.Tick(now_);
    for (const ContentHash part : {kCompanion, kBad}) {
      if (part == kCompanion || &it != &runs.back()) {
        other.Merge(*quarantine_.Export(part, now_), now_);
      }
    }
  }
  now_ += 2 * FleetQuarantineOptions().release_delay;
  other.Tick(now_);
  EXPECT_EQ(std::ranges::count(events, QuarantineChange::kReleased,
                               &QuarantineEvent::change),
            0);
  for (const auto& it : other.Export(now_)) {
    quarantine_.Merge(it, now_);
  }
  EXPECT_TRUE(IsRefused({kCompanion, kBad}));
}

// Guards against a sound content that was rerun in two crashes of a part, and
// was taken for the cause of all of them.
TEST_F(PartQuarantineTest, ContentExplainsNoMoreCrashesThanItHas) {
  const RunIdentity sound = NewRequest({kOther});
  for (int i = 0; i < 2; ++i) {
    const base::TargetId target("shared" + std::to_string(i));
    const base::AttemptId first("sound" + std::to_string(i));
    const base::AttemptId second("bad" + std::to_string(i));
    ASSERT_TRUE(quarantine_.TryStart(sound, target, first, now_, &denial_));
    ASSERT_TRUE(quarantine_.TryStart(NewRequest({kFirst, kBad}), target, second,
                                     now_, &denial_));
    now_ += kRunTime;
    quarantine_.OnLost(first, now_);
    quarantine_.OnLost(second, now_);
    quarantine_.OnTargetCrashed(target, now_);
    now_ += kGap;
    const auto answered = Start({kFirst});
    ASSERT_TRUE(answered);
    Answer(*answered);
  }
  ASSERT_EQ(quarantine_.Check(sound.content, now_),
            QuarantineDenial::kQuarantined);
  EXPECT_EQ(CrashTargets({kBad}, 10), 1);
}

// Guards against a caller who has others' requests refused by naming their
// part in requests that crash targets by something else.
TEST_F(PartQuarantineTest, CrashesOfOneOrganisationRefuseNobodyElse) {
  ASSERT_EQ(CrashTargets({kFirst}, 10, kAttacker), 2);
  EXPECT_TRUE(IsRefused({kFirst}, kAttacker));
  EXPECT_FALSE(IsRefused({kFirst}, kVictim));
  const auto trial = Start({kFirst}, kVictim);
  ASSERT_TRUE(trial);
  Answer(*trial);
  now_ += FleetQuarantineOptions().verdict_delay;
  const auto first = Start({kFirst}, kVictim);
  const auto second = Start({kFirst}, kVictim);
  EXPECT_TRUE(first && second);
}

// Also if the requests of both share all parts, so that nothing tells these
// apart.
TEST_F(PartQuarantineTest,
       CrashesOfOneOrganisationRefuseNoOthersWithSameParts) {
  ASSERT_EQ(CrashTargets({kFirst, kOther}, 10, kAttacker), 2);
  EXPECT_TRUE(IsRefused({kFirst, kOther}, kAttacker));
  const auto trial = Start({kFirst, kOther}, kVictim);
  ASSERT_TRUE(trial);
  Answer(*trial);
  now_ += FleetQuarantineOptions().verdict_delay;
  const auto first = Start({kFirst, kOther}, kVictim);
  const auto second = Start({kFirst, kOther}, kVictim);
  EXPECT_TRUE(first && second);
}

// But a part that is the cause costs one more target, not two for each
// organisation.
TEST_F(PartQuarantineTest, CrashesOfTwoOrganisationsRefuseAll) {
  ASSERT_EQ(CrashTargets({kBad}, 10, kAttacker), 2);
  ASSERT_EQ(CrashTargets({kBad}, 10, kVictim), 1);
  EXPECT_TRUE(IsRefused({kBad}, kVictim + 1));
}

TEST_F(PartQuarantineTest, ManyTargetsThatCrashAtOnceCondemnNoPart) {
  std::vector<Run> runs;
  for (int i = 0; i < 20; ++i) {
    runs.push_back(*Start({kFirst, kOther}));
  }
  for (const Run& it : runs) {
    quarantine_.OnLost(it.attempt, now_);
    quarantine_.OnTargetCrashed(base::TargetId(it.target), now_);
  }
  now_ += kGap;
  quarantine_.Tick(now_);
  EXPECT_FALSE(IsRefused({kFirst}));
  EXPECT_FALSE(IsRefused({kOther}));
}

// A run that had answered for a while was not the cause.
TEST_F(PartQuarantineTest, RunsInTheMiddleOfTheirAnswersAreNoEvidence) {
  for (int i = 0; i < 5; ++i) {
    const auto run = Start({kFirst, kOther});
    ASSERT_TRUE(run);
    quarantine_.OnAnswering(run->attempt, now_);
    now_ += FleetQuarantineOptions().settle_time;
    Crash(*run);
  }
  EXPECT_FALSE(IsRefused({kFirst, kOther}));
}

TEST_F(PartQuarantineTest, InstanceThatStartsLaterKnowsTheVerdict) {
  CrashTargets({kOther, kBad}, 10);
  const auto sound = Start({kOther});
  ASSERT_TRUE(sound);
  Answer(*sound);
  Quarantine later(FleetQuarantineOptions(), base::InstanceId("later"), {});
  for (const auto& it : quarantine_.Export(now_)) {
    later.Merge(it, now_);
  }
  now_ += FleetQuarantineOptions().verdict_delay;
  EXPECT_EQ(later.Check(NewRequest({kBad}), now_),
            QuarantineDenial::kQuarantined);
  EXPECT_TRUE(Start(later, NewRequest({kFirst})));
}

// The first quarantine ends with a trial, one for all instances; the next one
// lasts while such requests come.
TEST_F(PartQuarantineTest, QuarantineAfterATrialLastsWhileRequestsCome) {
  const QuarantineOptions options = FleetQuarantineOptions();
  ASSERT_EQ(CrashTargets({kBad}, 10), 2);
  now_ += options.first_quarantine_ttl;
  ASSERT_EQ(CrashTargets({kBad}, 10), 1);
  for (int i = 0; i < 60; ++i) {
    now_ += options.quarantine_ttl / 3;
    EXPECT_TRUE(IsRefused({kBad})) << i;
  }
  const auto extended = std::ranges::count(events_, QuarantineChange::kExtended,
                                           &QuarantineEvent::change);
  EXPECT_GE(extended, 10);
  EXPECT_LE(extended, 60);
  now_ += options.quarantine_ttl;
  EXPECT_FALSE(IsRefused({kBad}));
}

TEST_F(PartQuarantineTest, OperatorListsAndLiftsPartsAsContents) {
  CrashTargets({kBad}, 10);
  const auto entries = quarantine_.List(now_);
  const auto entry =
      std::ranges::find(entries, kBad, &QuarantineEntry::content);
  ASSERT_NE(entry, entries.end());
  EXPECT_TRUE(entry->is_part);
  EXPECT_TRUE(entry->quarantined);
  EXPECT_TRUE(quarantine_.Lift(kBad, now_));
  EXPECT_FALSE(IsRefused({kBad}));
}

// Hundreds of parts fill no more than the marks that there are.
TEST_F(PartQuarantineTest, RequestWithHundredsOfPartsIsBounded) {
  QuarantineOptions options = FleetQuarantineOptions();
  options.max_marks = 100;
  Quarantine small(options, base::InstanceId("small"), {});
  CrashTargets({kBad}, 10);
  for (const auto& it : quarantine_.Export(now_)) {
    small.Merge(it, now_);
  }
  std::vector<ContentHash> parts;
  for (std::uint64_t i = 0; i < 500; ++i) {
    parts.emplace_back(11, i);
  }
  const auto run = Start(small, NewRequest(parts));
  ASSERT_TRUE(run);
  small.OnLost(run->attempt, now_);
  small.OnTargetCrashed(base::TargetId(run->target), now_);
  EXPECT_LE(small.Export(now_).size(), 100u);
  now_ += options.verdict_delay;
  EXPECT_EQ(small.Check(NewRequest({kBad}), now_),
            QuarantineDenial::kQuarantined);
}

}  // namespace
}  // namespace lynxglade::request
