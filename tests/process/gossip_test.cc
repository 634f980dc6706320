// Gossip and membership over a faulty network; see fake_network.h.
#include "process/gossip.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "process/fake_network.h"

namespace lynxglade::process {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using tests::FakeNetwork;

// Long enough for random digests to reconcile any two instances.
constexpr base::Duration kConvergenceTime = minutes(5);

ViewItem Fact(const FakeNetwork& net,
              ViewKind kind,
              const std::string& key,
              ViewVersion version,
              const std::string& body) {
  return {kind, key, version, base::InstanceId("source"), net.now(), body};
}

// Adds `zones` zones with `each` instances, named "<zone>-<number>".
void Fill(FakeNetwork* net, int zones, int each) {
  for (int z = 0; z < zones; ++z) {
    const std::string zone(1, static_cast<char>('a' + z));
    for (int i = 0; i < each; ++i) {
      net->Add(zone + "-" + std::to_string(i), zone);
    }
  }
}

bool AllAgree(const FakeNetwork& net, const std::vector<std::size_t>& nodes) {
  return std::ranges::all_of(nodes, [&](std::size_t node) {
    return net.Contents(node) == net.Contents(nodes.front());
  });
}

// Instances republish their own facts periodically, so their stores may differ
// briefly while such a fact is in transit. Retries for two seconds.
bool AgreeEventually(FakeNetwork* net, const std::vector<std::size_t>& nodes) {
  for (int i = 0; i < 20 && !AllAgree(*net, nodes); ++i) {
    net->Run(std::chrono::milliseconds(100));
  }
  return AllAgree(*net, nodes);
}

std::vector<std::size_t> Range(std::size_t from, std::size_t to) {
  std::vector<std::size_t> out;
  for (std::size_t i = from; i < to; ++i) {
    out.push_back(i);
  }
  return out;
}

std::size_t DialsBetween(const std::vector<base::Time>& dials,
                         base::Time from,
                         base::Time to) {
  return std::ranges::count_if(
      dials, [&](base::Time t) { return t >= from && t < to; });
}

std::size_t MostDialsInASecond(const std::vector<base::Time>& dials,
                               base::Time from) {
  std::size_t most = 0;
  for (const base::Time start : dials) {
    if (start >= from) {
      most = std::max(most, DialsBetween(dials, start, start + seconds(1)));
    }
  }
  return most;
}

RC_GTEST_PROP(GossipProperty,
              ConvergesWithoutVersionRegressionUnderAnyFaults,
              ()) {
  FakeNetwork net(*rc::gen::arbitrary<std::uint64_t>());
  Fill(&net, *rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4));
  net.SetFaults({*rc::gen::inRange(0, 50) / 100.0,
                 *rc::gen::inRange(0, 50) / 100.0,
                 std::chrono::milliseconds(*rc::gen::inRange(1, 3000))});
  const int facts = *rc::gen::inRange(1, 30);
  for (int i = 0; i < facts; ++i) {
    const auto kind = *rc::gen::element(
        ViewKind::kTarget, ViewKind::kQuarantine, ViewKind::kConfigDelta);
    const auto key = std::to_string(*rc::gen::inRange(0, 4));
    const ViewVersion version{*rc::gen::inRange<std::uint64_t>(1, 4),
                              *rc::gen::inRange<std::uint64_t>(0, 4)};
    // Two instances may publish different bodies under one version.
    const auto body = std::to_string(*rc::gen::inRange(0, 2));
    const auto from = *rc::gen::inRange<std::size_t>(0, net.count());
    net.node(from).Publish(Fact(net, kind, key, version, body));
    net.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 1000)));
  }
  net.SetFaults({});
  net.Run(kConvergenceTime);
  RC_ASSERT(net.version_regressions() == 0);
  RC_ASSERT(AgreeEventually(&net, Range(0, net.count())));
}

RC_GTEST_PROP(GossipProperty,
              EachSideWorksDuringPartitionAndBothReconcileAfterIt,
              ()) {
  FakeNetwork net(*rc::gen::arbitrary<std::uint64_t>());
  Fill(&net, 2, 3);
  net.Run(seconds(30));
  // Block zone a to zone b, or both directions.
  const bool both_ways = *rc::gen::arbitrary<bool>();
  const auto each_pair = [&](const auto& change) {
    for (std::size_t a = 0; a < 3; ++a) {
      for (std::size_t b = 3; b < 6; ++b) {
        change(a, b);
      }
    }
  };
  each_pair([&](std::size_t a, std::size_t b) {
    net.BlockTraffic(a, b);
    if (both_ways) {
      net.BlockTraffic(b, a);
    }
  });
  net.Run(seconds(*rc::gen::inRange(1, 600)));
  net.node(0).Publish(Fact(net, ViewKind::kTarget, "from-a", {1, 0}, "{}"));
  net.node(3).Publish(Fact(net, ViewKind::kTarget, "from-b", {1, 0}, "{}"));
  net.Run(seconds(20));
  for (std::size_t i = 0; i < 6; ++i) {
    const std::string own = i < 3 ? "from-a" : "from-b";
    RC_ASSERT(net.node(i).store().Find({ViewKind::kTarget, own}) != nullptr);
  }
  each_pair([&](std::size_t a, std::size_t b) {
    net.RestoreTraffic(a, b);
    net.RestoreTraffic(b, a);
  });
  const base::Time restored = net.now();
  net.Run(kConvergenceTime);
  RC_ASSERT(net.version_regressions() == 0);
  RC_ASSERT(AgreeEventually(&net, Range(0, 6)));
  for (std::size_t i = 0; i < 6; ++i) {
    RC_ASSERT(net.StateSeenBy(i, "a-0") == MemberState::kLive);
    RC_ASSERT(net.StateSeenBy(i, "b-0") == MemberState::kLive);
  }
  // No reconnect storm: per second an instance makes at most one retry and one
  // first attempt, and few attempts in total.
  RC_ASSERT(MostDialsInASecond(net.dials(), restored) <= 2u * net.count());
  RC_ASSERT(DialsBetween(net.dials(), restored, restored + seconds(30)) <=
            4u * net.count());
}

TEST(Gossip, PausedInstanceIsSuspectUntilItResumes) {
  FakeNetwork net(1);
  Fill(&net, 2, 3);
  net.Run(seconds(30));
  net.Pause(1);
  net.Run(seconds(30));
  for (const std::size_t other : {0, 2, 3, 4, 5}) {
    EXPECT_EQ(net.StateSeenBy(other, "a-1"), MemberState::kSuspect) << other;
  }
  net.Resume(1);
  net.Run(seconds(30));
  for (const std::size_t i : Range(0, 6)) {
    // The resumed instance is no longer suspect and suspects no other.
    for (const char* id : {"a-0", "a-1", "a-2", "b-0", "b-1", "b-2"}) {
      EXPECT_EQ(net.StateSeenBy(i, id), MemberState::kLive) << i << id;
    }
  }
  EXPECT_EQ(net.version_regressions(), 0);
}

TEST(Gossip, KilledInstanceStaysSuspectWhileListed) {
  FakeNetwork net(2);
  Fill(&net, 1, 4);
  net.Run(seconds(30));
  net.Kill(2);
  net.Run(seconds(10));
  for (const std::size_t other : {0, 1, 3}) {
    EXPECT_EQ(net.StateSeenBy(other, "a-2"), MemberState::kSuspect);
    const auto live =
        net.node(other).membership().LiveInstances(base::ZoneId("a"));
    EXPECT_EQ(live.size(), 3u);
  }
  net.Run(minutes(40));
  for (const std::size_t other : {0, 1, 3}) {
    EXPECT_EQ(net.StateSeenBy(other, "a-2"), MemberState::kSuspect);
  }
}

TEST(Gossip, RestartAtTheSameAddressReplacesTheFormerInstance) {
  FakeNetwork net(3);
  Fill(&net, 2, 3);
  net.Run(seconds(30));
  net.RestartAs(1, "a-1-again");
  net.Run(seconds(30));
  for (const std::size_t i : {0, 2, 3, 4, 5, 6}) {
    EXPECT_EQ(net.StateSeenBy(i, "a-1-again"), MemberState::kLive) << i;
    EXPECT_EQ(net.StateSeenBy(i, "a-1"), MemberState::kGone) << i;
  }
  EXPECT_TRUE(AgreeEventually(&net, {0, 2, 3, 4, 5, 6}));
}

TEST(Gossip, UnreachablePairStaysLiveThroughOtherPeers) {
  FakeNetwork net(4);
  Fill(&net, 1, 5);
  net.Run(seconds(30));
  net.BlockTraffic(0, 1);
  net.Run(minutes(2));
  net.node(0).Publish(Fact(net, ViewKind::kConfigDelta, "9", {9, 0}, "{}"));
  net.Run(seconds(5));
  for (const std::size_t i : Range(0, 5)) {
    EXPECT_NE(net.node(i).store().Find({ViewKind::kConfigDelta, "9"}), nullptr);
    EXPECT_EQ(net.StateSeenBy(i, "a-0"), MemberState::kLive) << i;
    EXPECT_EQ(net.StateSeenBy(i, "a-1"), MemberState::kLive) << i;
  }
  // Each of the two may suspect the other once, but not again after that was
  // refuted.
  EXPECT_LE(net.suspicions().size(), 2u);
}

TEST(Gossip, OneRefutationClearsTheSuspicionOfAllInstances) {
  FakeNetwork net(8);
  Fill(&net, 1, 5);
  net.Run(seconds(30));
  for (const std::size_t other : {1, 2, 3}) {
    net.BlockTraffic(0, other);
  }
  net.Run(minutes(2));
  // One suspicion of a-0, and one by a-0 of each of the three.
  EXPECT_LE(net.suspicions().size(), 4u);
  for (const std::size_t i : Range(0, 5)) {
    EXPECT_EQ(net.StateSeenBy(i, "a-0"), MemberState::kLive) << i;
  }
}

TEST(Gossip, SimultaneousPauseOfAllInstancesRaisesNoSuspicion) {
  FakeNetwork net(7);
  Fill(&net, 2, 3);
  net.Run(seconds(30));
  const std::size_t dials = net.dials().size();
  for (const std::size_t i : Range(0, 6)) {
    net.Pause(i);
  }
  net.Run(seconds(60));
  for (const std::size_t i : Range(0, 6)) {
    net.Resume(i);
  }
  net.Run(seconds(10));
  EXPECT_EQ(net.dials().size(), dials);
  EXPECT_TRUE(net.suspicions().empty());
}

TEST(Gossip, LeavingNoticeSpreadsImmediatelyAndIsPermanent) {
  FakeNetwork net(5);
  Fill(&net, 3, 3);
  net.Run(seconds(30));
  net.node(4).Leave();
  net.Run(seconds(1));
  for (const std::size_t i : Range(0, 9)) {
    EXPECT_EQ(net.StateSeenBy(i, "b-1"), MemberState::kLeaving) << i;
  }
  net.Kill(4);
  net.Run(seconds(60));
  for (const std::size_t i : {0, 3, 8}) {
    EXPECT_EQ(net.StateSeenBy(i, "b-1"), MemberState::kLeaving) << i;
  }
}

TEST(Gossip, LoadReportsStayInTheZoneAndWithinTheBudget) {
  FakeNetwork net(6);
  Fill(&net, 2, 3);
  net.Run(seconds(30));
  const std::uint64_t before = net.BytesSent(0);
  constexpr int kSeconds = 30;
  for (std::uint64_t s = 0; s < kSeconds; ++s) {
    for (int target = 0; target < 100; ++target) {
      const auto from = static_cast<std::size_t>(target % 3);
      net.node(from).Publish(Fact(net, ViewKind::kLoad, std::to_string(target),
                                  {1, s}, std::string(60, 'x')));
    }
    net.Run(seconds(1));
  }
  // Reports beyond its own 33 came from other instances of the zone.
  EXPECT_GT(net.node(1).store().count(ViewKind::kLoad), 33u);
  for (const std::size_t other_zone : {3, 4, 5}) {
    EXPECT_EQ(net.node(other_zone).store().count(ViewKind::kLoad), 0u);
  }
  EXPECT_LT(net.BytesSent(0) - before, kSeconds * 3000u);
}

}  // namespace
}  // namespace lynxglade::process
