#include "process/peers/listing_turns.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::peers {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;

// What the store sends for a listing.
double SentBytes(const ListingGroup& group) {
  return 2.0 * static_cast<double>(group.listing_bytes);
}

double Seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

TEST(ListingTurnsTest, AllListAtOnceIfTheLinkServesThem) {
  const ListingTurns turns(
      {}, {.size = 20, .all_instances = 60, .listing_bytes = kMegabyte / 10});
  EXPECT_TRUE(turns.AtOnce());
  EXPECT_EQ(turns.Admitted({}), 20U);
  EXPECT_EQ(turns.TurnOf(19), base::Duration());
}

// Guards against a bound that depends on the number of instances alone: a
// smaller group with large listings fills the link as well.
TEST(ListingTurnsTest, SmallGroupsWithLargeListingsTakeTurns) {
  const ListingTurns turns(
      {}, {.size = 61, .all_instances = 63, .listing_bytes = 4 * kMegabyte});
  EXPECT_FALSE(turns.AtOnce());
  EXPECT_EQ(turns.Admitted({}), 2U);
  EXPECT_GT(turns.TurnOf(60), base::Duration());
}

TEST(ListingTurnsTest, AGroupWithoutInstancesHasNoTurns) {
  const ListingTurns turns({}, {});
  EXPECT_EQ(turns.Admitted({}), 0U);
  EXPECT_EQ(turns.TurnOf(0), base::Duration());
}

// Each rank has a turn, and in each step no more have theirs than all groups
// together can be sent within it, or two a group.
RC_GTEST_PROP(ListingTurnsPropertyTest, TheStoresLinkIsNotExceeded, ()) {
  const int groups = *rc::gen::inRange(1, 9);
  ListingGroup group;
  group.size = *rc::gen::inRange<std::size_t>(1, 1001);
  group.all_instances = static_cast<std::size_t>(groups) * group.size;
  group.listing_bytes = *rc::gen::inRange<std::size_t>(0, 8 * kMegabyte);
  group.link_mbps = *rc::gen::element(0, 20, 200);
  ListingTurnsOptions options;
  options.store_link_mbps = *rc::gen::element(100, 1000, 10000);
  const ListingTurns turns(options, group);
  const double link_bytes = options.store_link_mbps * 1e6 / 8;
  std::size_t before = 0;
  for (base::Duration at{}; before < group.size; at += turns.step()) {
    const std::size_t admitted = turns.Admitted(at);
    RC_ASSERT(admitted > before);
    const std::size_t n = admitted - before;
    RC_ASSERT((n <= options.min_admitted ||
               groups * static_cast<double>(n) * SentBytes(group) <=
                   link_bytes * Seconds(turns.step()) * 1.01));
    RC_ASSERT(turns.TurnOf(before) == at);
    RC_ASSERT(turns.TurnOf(admitted - 1) == at);
    before = admitted;
  }
}

}  // namespace
}  // namespace lynxglade::process::peers
