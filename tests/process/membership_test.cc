// Membership without a network; gossip_test.cc tests it over a faulty one.
#include "process/membership.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "base/random.h"

namespace lynxglade::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LinkId kLink = 7;

class MembershipTest : public ::testing::Test {
 protected:
  void LinkUp(LinkId link, bool dialled, const std::string& id) {
    std::string reason;
    accepted_ = members_.OnLinkUp(link, dialled,
                                  {kPeerProtocolVersion, base::InstanceId(id),
                                   base::ZoneId("z"), "10.0.0.2", 9},
                                  &reason);
  }

  // Ticks every 100 ms for `duration`, calling `each` before each tick. Returns
  // the reasons for which links were closed.
  template <typename F>
  std::string Run(base::Duration duration, F&& each) {
    std::string closed;
    for (const base::Time end = now_ + duration; now_ < end;) {
      now_ += milliseconds(100);
      each();
      for (const CloseRequest& request : members_.Tick().close) {
        closed += request.reason + ";";
      }
    }
    return closed;
  }

  base::Time now_{std::chrono::hours(1)};
  bool accepted_ = false;
  Membership members_{{},
                      base::InstanceId("m"),
                      {base::ZoneId("z"), "10.0.0.1", 9},
                      [this] { return now_; },
                      base::SeededRandom(1)};
};

TEST_F(MembershipTest, ClosesLinkWhosePeerDoesNotAcknowledgeHeartbeats) {
  LinkUp(kLink, true, "p");
  std::uint64_t sequence = 0;
  const auto send_heartbeat = [&](std::uint64_t echo) {
    members_.OnMessageReceived(kLink);
    members_.OnHeartbeat(kLink, {++sequence, echo});
  };
  std::uint64_t echo = 0;
  EXPECT_EQ(Run(seconds(20), [&] { send_heartbeat(++echo); }), "");
  EXPECT_EQ(Run(seconds(5), [&] { send_heartbeat(echo); }),
            "peer does not receive heartbeats;");
}

TEST_F(MembershipTest, KeepsLinkStartedBySmallerIdOfTwoLinks) {
  // "m" is the lesser of "m" and "p", the greater of "a" and "m".
  LinkUp(1, true, "p");
  LinkUp(2, false, "p");
  EXPECT_FALSE(accepted_);
  EXPECT_EQ(members_.Links(), std::vector<LinkId>{1});
  LinkUp(3, true, "a");
  LinkUp(4, false, "a");
  EXPECT_TRUE(accepted_);
  Run(milliseconds(100), [] {});
  EXPECT_EQ(members_.Links(), (std::vector<LinkId>{1, 4}));
}

TEST_F(MembershipTest, NewLinkInSameDirectionReplacesFormerOne) {
  LinkUp(1, false, "p");
  LinkUp(2, false, "p");
  EXPECT_TRUE(accepted_);
  Run(milliseconds(100), [] {});
  EXPECT_EQ(members_.Links(), std::vector<LinkId>{2});
}

TEST_F(MembershipTest, DoesNotRepeatSuspicionThatWasRefuted) {
  const auto receive_fact = [&](std::uint64_t sequence) {
    members_.OnFact({ViewKind::kInstance,
                     "p",
                     {kRunningEpoch, sequence},
                     base::InstanceId("q"),
                     now_,
                     EncodeInstanceFact({base::ZoneId("z"), "10.0.0.2", 9})});
  };
  LinkUp(kLink, true, "p");
  receive_fact(2);
  members_.OnLinkDown(kLink);
  members_.OnDialStarted(base::InstanceId("p"), 8);
  members_.OnLinkDown(8);
  // Another instance suspected the same peer first, and the peer refuted it.
  receive_fact(3);
  receive_fact(4);
  bool suspected = false;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    const auto published = members_.Tick().publish;
    suspected |= std::ranges::any_of(
        published, [](const ViewItem& item) { return item.key == "p"; });
  }
  EXPECT_FALSE(suspected);
}

TEST_F(MembershipTest, RowAloneIsSuspectAndOwnRowIsIgnored) {
  members_.SetRows({{base::InstanceId("p"), base::ZoneId("z"), "10.0.0.2", 9},
                    {base::InstanceId("other name of m"), base::ZoneId("z"),
                     "10.0.0.1", 9}});
  const auto list = members_.Members();
  ASSERT_EQ(list.size(), 2u);
  EXPECT_EQ(list[1].state, MemberState::kSuspect);
  EXPECT_EQ(members_.LiveInstances(base::ZoneId("z")).size(), 1u);
  // It is dialled nevertheless.
  EXPECT_EQ(members_.Tick().dial.size(), 1u);
}

// The instance list may give an instance an id that is not its own.
TEST_F(MembershipTest, HelloReplacesRowWithTheSameAddress) {
  const std::vector<InstanceRow> rows = {
      {base::InstanceId("made-up"), base::ZoneId("z"), "10.0.0.2", 9, false}};
  members_.SetRows(rows);
  now_ += seconds(1);
  const auto dial = members_.Tick().dial;
  ASSERT_EQ(dial.size(), 1u);
  EXPECT_EQ(dial[0].address, "10.0.0.2");
  members_.OnDialStarted(dial[0].peer, kLink);
  LinkUp(kLink, true, "p");
  ASSERT_TRUE(accepted_);
  members_.SetRows(rows);
  const auto known = members_.Members();
  ASSERT_EQ(known.size(), 2u);
  EXPECT_EQ(known[1].id.str(), "p");
  EXPECT_EQ(known[1].state, MemberState::kLive);
  now_ += seconds(1);
  EXPECT_TRUE(members_.Tick().dial.empty());
}

}  // namespace
}  // namespace lynxglade::process
