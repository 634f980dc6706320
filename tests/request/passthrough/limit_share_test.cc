#include "request/passthrough/limit_share.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::seconds;

const base::TargetId kTarget("t1");
const base::ZoneId kZone("z0");
const base::Time kNow = base::Time() + std::chrono::hours(1);

base::InstanceId Id(int i) {
  return base::InstanceId("i" + std::to_string(i));
}

// Instances i0, i1, ... in turn in the zones z0, z1, ...
FleetView MakeFleet(int instances, int zones) {
  FleetView fleet;
  fleet.instance_count = instances;
  for (int i = 0; i < instances; ++i) {
    fleet.members.push_back(
        {Id(i), base::ZoneId("z" + std::to_string(i % zones))});
  }
  return fleet;
}

std::vector<LimitShare> AllShares(double limit, const FleetView& fleet) {
  std::vector<LimitShare> shares;
  std::ranges::transform(
      fleet.members, std::back_inserter(shares), [&](const FleetMember& it) {
        return SelectLimitShare(base::PerSecond(limit), kTarget, kZone,
                                it.instance, fleet);
      });
  return shares;
}

int CountSenders(const std::vector<LimitShare>& shares) {
  return static_cast<int>(
      std::ranges::count_if(shares, &LimitShare::is_sender));
}

double SumOfRates(const std::vector<LimitShare>& shares) {
  double sum = 0;
  for (const LimitShare& it : shares) {
    sum += it.rate.value();
  }
  return sum;
}

TEST(LimitShare, FewInstancesHaveEqualShares) {
  const auto shares = AllShares(7.5, MakeFleet(7, 3));
  EXPECT_EQ(CountSenders(shares), 7);
  for (const LimitShare& it : shares) {
    EXPECT_DOUBLE_EQ(it.rate.value(), 7.5 / 7);
  }
}

// 295 bursts of one request would be 295 requests at once.
TEST(LimitShare, SendersDoNotGrowWithTheFleet) {
  for (const int instances : {7, 60, 295, 985}) {
    const auto shares = AllShares(4.6, MakeFleet(instances, 5));
    EXPECT_EQ(CountSenders(shares), 6) << instances;
    EXPECT_NEAR(SumOfRates(shares), 4.6, 1e-6) << instances;
  }
}

// In any window of 4 s the senders' requests, one more for each, and the
// probes of all others are within one and a half times the limit and 5.
RC_GTEST_PROP(LimitShare,
              SumOfAWindowIsAllowed,
              (unsigned limit_thousandths, unsigned size)) {
  constexpr double kWindow = 4;
  const double limit = static_cast<double>(limit_thousandths % 200'000) / 1000;
  const auto fleet = MakeFleet(1 + static_cast<int>(size % 1000), 3);
  double sum = 0;
  double probes = 0;
  for (const LimitShare& it : AllShares(limit, fleet)) {
    if (it.is_sender) {
      sum += it.rate.value() * kWindow + 1;
    } else {
      // Slots that a window meets, each with one request.
      probes += it.rate.value() *
                (kWindow + std::chrono::duration<double>(kProbeSlot).count());
    }
  }
  RC_ASSERT(sum + (probes > 0 ? probes + 1 : 0) <= 1.5 * kWindow * limit + 5);
}

TEST(LimitShare, SendersAreOfTheTargetsZoneFirst) {
  const auto fleet = MakeFleet(60, 3);
  const auto shares = AllShares(4.6, fleet);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    EXPECT_TRUE(!shares[i].is_sender || fleet.members[i].zone == kZone) << i;
  }
}

TEST(LimitShare, AJoiningInstanceReplacesAtMostOneSender) {
  const auto fleet = MakeFleet(60, 1);
  const auto before = AllShares(4.6, fleet);
  for (int joining = 100; joining < 150; ++joining) {
    auto larger = fleet;
    larger.members.push_back({Id(joining), kZone});
    ++larger.instance_count;
    const auto after = AllShares(4.6, larger);
    int lost = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
      lost += before[i].is_sender && !after[i].is_sender ? 1 : 0;
      EXPECT_TRUE(before[i].is_sender || !after[i].is_sender);
    }
    EXPECT_LE(lost, 1);
  }
}

TEST(LimitShare, AnInstanceThatIsNotListedIsNoSender) {
  const auto share = SelectLimitShare(base::PerSecond(4.6), kTarget, kZone,
                                      Id(999), MakeFleet(60, 1));
  EXPECT_FALSE(share.is_sender);
  EXPECT_GT(share.rate.value(), 0);
}

// If none sent a request, none would learn that the limit is over.
TEST(LimitShare, ALimitOfZeroLeavesProbes) {
  for (const int instances : {1, 7, 985}) {
    for (const LimitShare& it : AllShares(0, MakeFleet(instances, 1))) {
      EXPECT_GT(it.rate.value(), 0);
    }
  }
}

TEST(LimitShare, HugeLimitMakesAllInstancesSenders) {
  EXPECT_EQ(CountSenders(AllShares(1e300, MakeFleet(7, 1))), 7);
}

TEST(LimitShare, ProbeSlotsRecurAfterACycle) {
  const LimitShare share{.rate = base::PerSecond(0.01),
                         .probe_cycle = seconds(100),
                         .probe_offset = seconds(30)};
  const auto slot = [&](int s) {
    return ProbeSlotBegin(share, kNow, kNow + seconds(s)) - kNow;
  };
  EXPECT_EQ(slot(0), seconds(30));
  EXPECT_EQ(slot(31), seconds(30));
  EXPECT_EQ(slot(34), seconds(130));
  EXPECT_EQ(slot(132), seconds(130));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
