// Instances on loopback that hand their counts to the collectors.
#include "process/usage/usage_sharing.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/peer_fixture.h"

namespace lynxglade::process::usage {
namespace {

using peers::InstancePeer;

std::vector<InstancePeer> MakePeers(int zones, int each) {
  std::vector<InstancePeer> all;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < each; ++i) {
      const std::string name =
          "z" + std::to_string(zone) + "-" + std::to_string(i);
      all.push_back({base::InstanceId(name),
                     base::ZoneId("z" + std::to_string(zone)),
                     {}});
    }
  }
  return all;
}

TEST(SelectCollectors, TheHolderIsFirstAndTheOthersAreOfOtherZones) {
  const auto all = MakePeers(3, 20);
  const auto chosen = SelectCollectors(all, base::InstanceId("z1-7"), 3);
  ASSERT_EQ(chosen.size(), 3U);
  EXPECT_EQ(chosen[0].instance.str(), "z1-7");
  std::set<base::ZoneId> zones;
  std::ranges::for_each(
      chosen, [&zones](const InstancePeer& it) { zones.insert(it.zone); });
  EXPECT_EQ(zones.size(), 3U);
}

TEST(SelectCollectors, WithFewZonesOthersFollow) {
  EXPECT_EQ(
      SelectCollectors(MakePeers(1, 5), base::InstanceId("z0-1"), 3).size(),
      3U);
  EXPECT_EQ(
      SelectCollectors(MakePeers(1, 2), base::InstanceId("z0-1"), 3).size(),
      2U);
  EXPECT_EQ(SelectCollectors(MakePeers(2, 5), base::InstanceId(), 3).size(),
            3U);
}

// Whatever the order in which an instance learnt of the others.
RC_GTEST_PROP(SelectCollectors, AllInstancesAgree, ()) {
  auto all = MakePeers(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
  const auto holder = *rc::gen::elementOf(all);
  const auto names = [](const std::vector<InstancePeer>& list) {
    std::vector<std::string> out;
    for (const InstancePeer& it : list) {
      out.push_back(it.instance.str());
    }
    return out;
  };
  const auto first = names(SelectCollectors(all, holder.instance, 3));
  std::ranges::rotate(
      all, all.begin() + static_cast<std::ptrdiff_t>(
                             *rc::gen::inRange<std::size_t>(0, all.size())));
  RC_ASSERT(names(SelectCollectors(all, holder.instance, 3)) == first);
  RC_ASSERT(first[0] == holder.instance.str());
}

class UsageSharingTest : public peers::PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(UsageSharingTest& test, const std::string& name)
        : PeerParts(test, name),
          origin(name + "/1"),
          fleet_clock(base::BootClock::now,
                      [] { return WallMillis(base::WallMillis()); }),
          sharing(
              table,
              fleet_clock,
              presence,
              datagrams,
              [&test] { return test.holder_; },
              {.instance = base::InstanceId(name),
               .origin = origin,
               .min_period = std::chrono::milliseconds(20),
               .period_per_instance = base::Duration(0),
               .max_period = std::chrono::milliseconds(50),
               .collectors = 1},
              base::BootClock::now) {}

    std::int64_t Total() const {
      const UsageCounts totals = table.Totals(kWindow);
      return totals.contains(kOrganisation) ? totals.at(kOrganisation) : 0;
    }
    void Count() { table.Count(origin, kWindow, kOrganisation); }

    OriginId origin;
    UsageTable table;
    FleetClock fleet_clock;
    UsageSharing sharing;
  };

  static inline const WindowId kWindow{100};
  static inline const base::OrganisationId kOrganisation{"o"};

  void Start(std::initializer_list<Instance*> all) {
    switch (all.size()) {
      case 2:
        StartPeers({all.begin()[0], all.begin()[1]});
        break;
      default:
        StartPeers({all.begin()[0], all.begin()[1], all.begin()[2]});
    }
    std::ranges::for_each(all, [](Instance* it) { it->sharing.Start(); });
  }

  base::InstanceId holder_{"one"};
};

TEST_F(UsageSharingTest, TheHolderHasTheCountsOfAll) {
  Instance one(*this, "one");
  Instance two(*this, "two");
  Instance three(*this, "three");
  one.Count();
  two.Count();
  three.Count();
  Start({&one, &two, &three});
  store::RunUntil(loop_, [&] { return one.Total() == 3; });
  two.Count();
  store::RunUntil(loop_, [&] { return one.Total() == 4; });
  EXPECT_EQ(two.Total(), 2);
  EXPECT_GE(one.fleet_clock.DirectClocks(), 2);
}

// What an instance has counted must outlive it and the holder.
TEST_F(UsageSharingTest, ANewHolderGetsTheCountsOfProcessesThatAreGone) {
  Instance one(*this, "one");
  Instance two(*this, "two");
  one.table.Merge({OriginId("gone/1"), kWindow, kOrganisation, 5});
  one.Count();
  two.Count();
  holder_ = base::InstanceId("two");
  Start({&one, &two});
  store::RunUntil(loop_, [&] { return two.Total() == 7; });
}

TEST_F(UsageSharingTest, MissingPartIsThatOfInstancesNotHeardSince) {
  Instance one(*this, "one");
  Instance two(*this, "two");
  Start({&one, &two});
  const base::Duration length = std::chrono::seconds(5);
  EXPECT_EQ(one.sharing.MissingPart(base::BootClock::now(), length), 0.5);
  const base::Time end = base::BootClock::now();
  store::RunUntil(loop_,
                  [&] { return one.sharing.MissingPart(end, length) == 0; });
}

}  // namespace
}  // namespace lynxglade::process::usage
