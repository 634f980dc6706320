#include "request/passthrough/peer_avoidance.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::TargetId kEngine("e1");
const base::TargetId kOther("e2");

std::vector<AvoidedEngine> Naming(const base::TargetId& engine,
                                  base::Duration left) {
  return {{KeyOf(engine), left}};
}

base::InstanceId Peer(int i) {
  return base::InstanceId("i" + std::to_string(i));
}

// The load this answers: a sixth of 160 engines go dark at once before 59
// instances a zone, each of which sees an engine every 50 s.
TEST(PeerAvoidance, WhatSeveralAvoidIsAvoided) {
  PeerAvoidance peers;
  peers.Put(Peer(1), Naming(kEngine, milliseconds(500)), kNow);
  EXPECT_FALSE(peers.Avoided(kEngine, kNow));
  peers.Put(Peer(2), Naming(kEngine, milliseconds(500)), kNow);
  EXPECT_TRUE(peers.Avoided(kEngine, kNow));
  EXPECT_FALSE(peers.Avoided(kOther, kNow));
}

// An instance whose own path is broken avoids everything.
TEST(PeerAvoidance, OneInstanceAloneIsNotBelieved) {
  PeerAvoidance peers;
  for (int i = 0; i < 5; ++i) {
    peers.Put(Peer(1), Naming(kEngine, seconds(4)), kNow);
  }
  EXPECT_FALSE(peers.Avoided(kEngine, kNow));
}

TEST(PeerAvoidance, EndsWhenTheFirstOfThemsEnds) {
  PeerAvoidance peers;
  peers.Put(Peer(1), Naming(kEngine, milliseconds(300)), kNow);
  peers.Put(Peer(2), Naming(kEngine, milliseconds(900)), kNow);
  EXPECT_TRUE(peers.Avoided(kEngine, kNow + milliseconds(299)));
  EXPECT_FALSE(peers.Avoided(kEngine, kNow + milliseconds(300)));
}

TEST(PeerAvoidance, NobodyHoldsATargetBackForLong) {
  PeerAvoidance peers;
  peers.Put(Peer(1), Naming(kEngine, seconds(60)), kNow);
  peers.Put(Peer(2), Naming(kEngine, seconds(60)), kNow);
  EXPECT_TRUE(peers.Avoided(kEngine, kNow + milliseconds(999)));
  EXPECT_FALSE(peers.Avoided(kEngine, kNow + milliseconds(1000)));
}

// Whatever is said, in whatever order: two that say so within the last second,
// or it is not avoided.
RC_GTEST_PROP(PeerAvoidance, IsWhatTwoOrMoreSaidLately, ()) {
  struct Said {
    int peer = 0;
    base::Time until{};
  };
  PeerAvoidance peers;
  std::vector<Said> said;
  base::Time now = kNow;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    const int peer = *rc::gen::inRange(0, 4);
    const auto left = milliseconds(*rc::gen::inRange(1, 3000));
    peers.Put(Peer(peer), Naming(kEngine, left), now);
    std::erase_if(said, [peer](const Said& it) { return it.peer == peer; });
    said.push_back({peer, now + std::min<base::Duration>(left, seconds(1))});
    const auto later = now + milliseconds(*rc::gen::inRange(0, 1200));
    const auto n = std::ranges::count_if(
        said, [later](const Said& it) { return it.until > later; });
    RC_ASSERT(peers.Avoided(kEngine, later) == (n >= 2));
  }
}

TEST(PeerAvoidance, OwnFailuresAreTold) {
  EngineTable engines(base::Duration(0));
  EngineEntry entry;
  entry.id = kEngine;
  engines.Put(entry, base::Time());
  entry.id = kOther;
  engines.Put(entry, base::Time());
  EXPECT_TRUE(OwnAvoided(engines, kNow).empty());
  engines.Find(kEngine)->health.OnFailure(kNow);
  EXPECT_EQ(OwnAvoided(engines, kNow), Naming(kEngine, milliseconds(500)));
  engines.Find(kEngine)->health.OnAccepted();
  EXPECT_TRUE(OwnAvoided(engines, kNow).empty());
}

}  // namespace
}  // namespace lynxglade::request::passthrough
