#include "process/store/prefix_follower.h"

#include <map>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::store {
namespace {

namespace asio = connection::event::asio;

class PrefixFollowerTest : public testing::Test {
 protected:
  PrefixFollowerTest()
      : store_(loop_),
        follower_(
            loop_,
            store_,
            {.prefix = "servers/",
             .batch_delay =
                 [] { return base::Duration(std::chrono::milliseconds(1)); },
             .min_retry_delay = std::chrono::milliseconds(1),
             .max_retry_delay = std::chrono::milliseconds(1)},
            {.on_list =
                 [this](const std::vector<StoreItem>& items) {
                   seen_.clear();
                   for (const StoreItem& item : items) {
                     seen_[item.key] = item.value;
                   }
                 },
             .on_change =
                 [this](const StoreItem& item) {
                   if (item.deleted) {
                     seen_.erase(item.key);
                   } else {
                     seen_[item.key] = item.value;
                   }
                 },
             .on_recovered = [this](base::Duration) { ++returned_; }},
            base::BootClock::now,
            base::SeededRandom(1),
            metrics_) {}

  void Start() {
    asio::co_spawn(loop_, follower_.Run(), asio::detached);
    RunUntil(loop_, [this] {
      return follower_.Age().has_value() && store_.watches() > 0;
    });
  }

  asio::io_context loop_;
  base::Metrics metrics_;
  FakeStorePort store_;
  PrefixFollower follower_;
  std::map<std::string, std::string> seen_;
  int returned_ = 0;
};

TEST_F(PrefixFollowerTest, ListsThenFollowsChanges) {
  store_.Write("servers/a", "1");
  store_.Write("other/x", "1");
  Start();
  EXPECT_EQ(seen_, (std::map<std::string, std::string>{{"servers/a", "1"}}));
  store_.Write("servers/b", "2");
  store_.Remove("servers/a");
  RunUntil(loop_, [this] { return seen_.contains("servers/b"); });
  RunUntil(loop_, [this] { return !seen_.contains("servers/a"); });
  EXPECT_EQ(store_.lists(), 1);
  EXPECT_EQ(returned_, 0);
}

// Guards against keeping a key that was deleted in compacted history, and
// against reporting the failed watch as an outage.
TEST_F(PrefixFollowerTest, ListsAgainAfterCompaction) {
  store_.Write("servers/a", "1");
  Start();
  store_.Remove("servers/a");
  store_.Compact();
  RunUntil(loop_, [this] { return store_.lists() == 2; });
  RunUntil(loop_, [this] { return seen_.empty(); });
  EXPECT_EQ(returned_, 0);
}

TEST_F(PrefixFollowerTest, ClosedWatchIsNoOutage) {
  Start();
  store_.CloseWatches();
  RunUntil(loop_, [this] { return store_.lists() == 2; });
  EXPECT_EQ(returned_, 0);
}

TEST_F(PrefixFollowerTest, ReportsRecoveryAfterBusyStore) {
  store_.Write("servers/a", "1");
  Start();
  store_.Fail(StoreFault::kBusy);
  RunUntil(loop_, [this] { return store_.lists() >= 3; });
  EXPECT_TRUE(seen_.contains("servers/a"));
  store_.Fail(std::nullopt);
  RunUntil(loop_, [this] { return returned_ == 1; });
}

TEST_F(PrefixFollowerTest, ReportsRecoveryAfterTimeouts) {
  Start();
  store_.Fail(StoreFault::kTimeout);
  RunUntil(loop_, [this] { return store_.lists() >= 2; });
  store_.Fail(std::nullopt);
  RunUntil(loop_, [this] { return returned_ == 1; });
  EXPECT_GT(metrics_.CounterValue("lynxglade_store_faults_total",
                                  {{"call", "watch"}, {"fault", "timeout"}}),
            0U);
}

TEST(DispatchByPrefix, EachHandlerSeesItsKeys) {
  std::vector<std::string> seen;
  int returned = 0;
  const auto part = [&](const std::string& prefix) {
    return PrefixHandler{
        prefix,
        {.on_list =
             [&seen, prefix](const std::vector<StoreItem>& it) {
               seen.push_back(prefix + "list" + std::to_string(it.size()));
             },
         .on_change =
             [&seen, prefix](const StoreItem& it) {
               seen.push_back(prefix + "change" + it.key);
             },
         .on_recovered = [&returned](base::Duration) { ++returned; }}};
  };
  const auto hooks = DispatchByPrefix({part("a/"), part("b/")});
  const auto item = [](const std::string& key) {
    StoreItem it;
    it.key = key;
    return it;
  };
  hooks.on_list({item("a/1"), item("c/1"), item("a/2")});
  hooks.on_change(item("b/3"));
  hooks.on_change(item("c/3"));
  hooks.on_recovered(base::Duration(0));
  EXPECT_EQ(seen,
            (std::vector<std::string>{"a/list2", "b/list0", "b/changeb/3"}));
  EXPECT_EQ(returned, 2);
}

}  // namespace
}  // namespace lynxglade::process::store
