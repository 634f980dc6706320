#include "process/peers/instance_presence.h"

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::peers {
namespace {

namespace asio = connection::event::asio;

constexpr char kKey[] = "lynxglade/instances/a/me";

class InstancePresenceTest : public testing::Test {
 protected:
  InstancePresenceTest()
      : store_(loop_),
        presence_(loop_,
                  store_,
                  {.instance = base::InstanceId("me"),
                   .zone = base::ZoneId("a"),
                   .renew_interval = std::chrono::milliseconds(1),
                   .retry_interval = std::chrono::milliseconds(1),
                   .missing_delay = base::Duration::zero()},
                  [this] { return now_; }) {
    asio::co_spawn(loop_, presence_.Run(), asio::detached);
  }

  void Show() {
    std::vector<store::StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    presence_.OnList(items);
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  asio::io_context loop_;
  store::FakeStorePort store_;
  InstancePresence presence_;
};

TEST_F(InstancePresenceTest, WritesKeyAgainAfterLeaseExpiry) {
  store::RunUntil(loop_, [this] { return store_.items().contains(kKey); });
  store_.Expire(*presence_.lease());
  EXPECT_FALSE(store_.items().contains(kKey));
  store::RunUntil(loop_, [this] { return store_.items().contains(kKey); });
}

TEST_F(InstancePresenceTest, RewritesDeletedKey) {
  store::RunUntil(loop_, [this] { return store_.items().contains(kKey); });
  store_.Remove(kKey);
  Show();
  store::RunUntil(loop_, [this] { return store_.items().contains(kKey); });
}

TEST_F(InstancePresenceTest, AssumesManyInstancesBeforeTheFirstListing) {
  EXPECT_EQ(presence_.Count(), InstancePresenceOptions().assumed_instances);
  store_.Write("lynxglade/instances/z/a", "a");
  store_.Write("lynxglade/instances/z/b", "b");
  store_.Write("lynxglade/orders/holder", "a");
  Show();
  EXPECT_EQ(presence_.Count(), 2);
}

// Instances whose keys have vanished may still be serving, so their share of
// fleet-wide budgets is not redistributed at once.
TEST_F(InstancePresenceTest, CountFallsOnlyAfterHoldTime) {
  store_.Write("lynxglade/instances/z/a", "a");
  store_.Write("lynxglade/instances/z/b", "b");
  Show();
  store_.Remove("lynxglade/instances/z/a");
  Show();
  EXPECT_EQ(presence_.Count(), 2);
  now_ += std::chrono::seconds(16);
  Show();
  EXPECT_EQ(presence_.Count(), 1);
}

// Guards against BUDGET: all keys lapse at once after a long time without any
// change, and each instance takes the whole budget for its own.
TEST_F(InstancePresenceTest, CountIsHeldAfterALongTimeWithoutChange) {
  store_.Write("lynxglade/instances/z/a", "a");
  store_.Write("lynxglade/instances/z/b", "b");
  Show();
  now_ += std::chrono::hours(1);
  store_.Remove("lynxglade/instances/z/a");
  store_.Remove("lynxglade/instances/z/b");
  Show();
  EXPECT_EQ(presence_.Count(), 2);
  now_ += std::chrono::seconds(16);
  Show();
  EXPECT_EQ(presence_.Count(), 1);
}

// Peers are named by the id in their key, without prefix and zone.
TEST_F(InstancePresenceTest, PeersAreNamedById) {
  store_.Write("lynxglade/instances/z/edge-1",
               R"({"zone":"z","peer":"10.0.0.1:7380","link_mbps":200})");
  Show();
  ASSERT_EQ(presence_.Peers().size(), 1U);
  EXPECT_EQ(presence_.Peers()[0].instance.str(), "edge-1");
  EXPECT_EQ(presence_.Peers()[0].zone.str(), "z");
  EXPECT_EQ(presence_.Peers()[0].link_mbps, 200);
}

// A key that is lost between two renewals is written at once, but not before
// the write had time to be seen.
TEST(InstancePresenceRenewal, LostKeyIsWrittenBeforeTheNextRenewal) {
  base::Time now = base::Time() + std::chrono::hours(1);
  asio::io_context loop;
  store::FakeStorePort store(loop);
  InstancePresence presence(loop, store,
                            {.instance = base::InstanceId("me"),
                             .zone = base::ZoneId("a"),
                             .renew_interval = std::chrono::hours(1),
                             .retry_interval = std::chrono::milliseconds(1)},
                            [&now] { return now; });
  asio::co_spawn(loop, presence.Run(), asio::detached);
  store::RunUntil(loop, [&store] { return store.items().contains(kKey); });
  store.Remove(kKey);
  presence.OnList({});
  loop.restart();
  loop.run_for(std::chrono::milliseconds(20));
  EXPECT_FALSE(store.items().contains(kKey));
  now += InstancePresenceOptions().missing_delay;
  store::RunUntil(loop, [&store] { return store.items().contains(kKey); });
}

TEST_F(InstancePresenceTest, LeaveRemovesTheKeyAtOnce) {
  store::RunUntil(loop_, [this] { return store_.items().contains(kKey); });
  asio::co_spawn(loop_, presence_.Leave(), asio::detached);
  store::RunUntil(loop_, [this] { return !store_.items().contains(kKey); });
}

}  // namespace
}  // namespace lynxglade::process::peers
