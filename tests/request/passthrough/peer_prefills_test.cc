#include "request/passthrough/peer_prefills.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::TargetId kEngine("e1");
const base::InstanceId kPeer("a");
const base::InstanceId kOther("b");

PeerPrefill MakePrefill(const base::TargetId& engine,
                        int priority,
                        std::int64_t tokens) {
  return {KeyOf(engine), priority, tokens};
}

TEST(PeerPrefills, CountsPromptsAtLeastAsUrgent) {
  PeerPrefills prefills;
  prefills.Put(kPeer,
               {MakePrefill(kEngine, 0, 100), MakePrefill(kEngine, 2, 3'000)},
               kNow);
  prefills.Put(kOther, {MakePrefill(kEngine, 1, 20)}, kNow);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 0, kNow), 100);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 1, kNow), 120);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 2, kNow), 3'120);
  EXPECT_EQ(prefills.PrefillTokens(base::TargetId("e2"), 2, kNow), 0);
}

TEST(PeerPrefills, ReportReplacesThePreviousOne) {
  PeerPrefills prefills;
  prefills.Put(kPeer, {MakePrefill(kEngine, 0, 100)}, kNow);
  prefills.Put(kPeer, {}, kNow);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 9, kNow), 0);
}

// An instance that is partitioned or killed does not report its end.
TEST(PeerPrefills, ReportsExpire) {
  PeerPrefills prefills;
  prefills.Put(kPeer, {MakePrefill(kEngine, 0, 100)}, kNow);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 0, kNow + milliseconds(500)), 100);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 0, kNow + milliseconds(501)), 0);
}

TEST(PeerPrefills, ScaleAccountsForInstancesThatDoNotReport) {
  PeerPrefills prefills;
  prefills.SetScale(2.5);
  prefills.Put(kPeer, {MakePrefill(kEngine, 0, 100)}, kNow);
  EXPECT_EQ(prefills.PrefillTokens(kEngine, 0, kNow), 250);
}

TEST(PeerPrefills, OwnPrefillsArePendingOnes) {
  EngineTable engines{base::Duration(0)};
  for (const char* id : {"e1", "e2", "e3"}) {
    EngineEntry entry;
    entry.id = base::TargetId(id);
    engines.Put(entry, kNow);
  }
  engines.Find(kEngine)->prefills[1].prefill_tokens = 70;
  engines.Find(base::TargetId("e2"))->prefills[0].prefill_tokens = 0;
  const auto prefills = OwnPrefills(engines);
  ASSERT_EQ(prefills.size(), 1U);
  EXPECT_EQ(prefills[0].engine, KeyOf(kEngine));
  EXPECT_EQ(prefills[0].priority, 1);
  EXPECT_EQ(prefills[0].prefill_tokens, 70);
}

// Random reports: only the newest one of each peer counts, until it expires.
RC_GTEST_PROP(PeerPrefills, NewestReportOfEachPeerCounts, ()) {
  PeerPrefills prefills;
  base::Time now = kNow;
  std::map<std::string, std::pair<std::int64_t, base::Time>> last;
  const int n = *rc::gen::inRange(0, 60);
  for (int i = 0; i < n; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 200));
    const std::string peer =
        *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"});
    const std::int64_t tokens = *rc::gen::inRange(0, 1000);
    prefills.Put(base::InstanceId(peer), {MakePrefill(kEngine, 0, tokens)},
                 now);
    last[peer] = {tokens, now};
  }
  std::int64_t sum = 0;
  for (const auto& [peer, row] : last) {
    sum += now - row.second <= PeerPrefillsOptions().report_ttl ? row.first : 0;
  }
  RC_ASSERT(prefills.PrefillTokens(kEngine, 0, now) == sum);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
