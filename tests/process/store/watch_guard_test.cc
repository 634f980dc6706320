// Guards against CONFIG and DRAIN: a watch that an outage of the store had
// swallowed was waited for, and the view stayed old for seconds after it.
#include "process/store/watch_guard.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "connection/event/tasks.h"
#include "process/store/fake_store_port.h"

namespace lynxglade::process::store {
namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::Spawn;
namespace asio = connection::event::asio;

// A store whose reads of keys are answered when the test says so; a watch
// without changes is never answered.
class SlowStore : public FakeStorePort {
 public:
  explicit SlowStore(asio::io_context& loop)
      : FakeStorePort(loop),
        released_(loop, asio::steady_timer::time_point::max()) {}

  void Hold() { held_ = true; }
  void Release() {
    held_ = false;
    released_.cancel();
  }
  int reads() const noexcept { return reads_; }

  Result<StoreItem> Get(std::string key, StoreFault* fault) override {
    ++reads_;
    while (held_) {
      ErrorCode ec;
      co_await released_.async_wait(Into(ec));
    }
    co_return co_await FakeStorePort::Get(std::move(key), fault);
  }

 private:
  bool held_ = false;
  int reads_ = 0;
  asio::steady_timer released_;
};

class WatchGuardTest : public testing::Test {
 protected:
  void Watch(base::Duration wait) {
    items_.reset();
    fault_.reset();
    Spawn(loop_, "test", RunWatch(wait));
  }
  Awaitable<void> RunWatch(base::Duration wait) {
    StoreFault fault{};
    items_ = co_await guard_.Watch({}, base::Revision(1), wait, &fault);
    if (!items_) {
      fault_ = fault;
    }
  }
  void RunUntilEnd() {
    RunUntil(loop_, [this] { return items_ || fault_; });
  }

  asio::io_context loop_;
  base::Metrics metrics_;
  SlowStore store_{loop_};
  WatchGuard guard_{loop_,
                    store_,
                    {.overdue = std::chrono::milliseconds(1),
                     .min_extra_wait = std::chrono::milliseconds(1)},
                    base::BootClock::now,
                    metrics_};
  std::optional<StoreItems> items_;
  std::optional<StoreFault> fault_;
};

TEST_F(WatchGuardTest, AnAnswerIsPassedOn) {
  store_.Write("a", "1");
  Watch(std::chrono::hours(1));
  RunUntilEnd();
  ASSERT_TRUE(items_);
  EXPECT_EQ(items_->items.size(), 1U);
  EXPECT_EQ(store_.reads(), 0);
}

TEST_F(WatchGuardTest, AFaultIsPassedOn) {
  store_.Compact();
  store_.Write("a", "1");
  store_.Compact();
  Watch(std::chrono::hours(1));
  RunUntilEnd();
  EXPECT_EQ(fault_, StoreFault::kHistoryGone);
}

TEST_F(WatchGuardTest, AWatchIsLostIfTheStoreAnswersAReadBeforeIt) {
  Watch(std::chrono::milliseconds(1));
  RunUntilEnd();
  EXPECT_EQ(fault_, StoreFault::kTimeout);
  EXPECT_EQ(store_.reads(), 1);
  EXPECT_EQ(metrics_.CounterValue("lynxglade_watches_lost_total", {}), 1U);
  // What the store still answers to it has no effect.
  store_.Write("a", "1");
  RunReady(loop_);
}

// A listing costs far more than a late answer.
TEST_F(WatchGuardTest, ASlowStoreIsWaitedFor) {
  store_.Hold();
  Watch(std::chrono::milliseconds(1));
  RunUntil(loop_, [this] { return store_.reads() == 1; });
  EXPECT_FALSE(items_ || fault_);
  store_.Write("a", "1");
  RunUntilEnd();
  EXPECT_TRUE(items_);
  store_.Release();
  RunReady(loop_);
}

TEST_F(WatchGuardTest, AStoreThatFailsTheReadIsWaitedFor) {
  store_.Hold();
  Watch(std::chrono::milliseconds(1));
  RunUntil(loop_, [this] { return store_.reads() == 1; });
  store_.Fail(StoreFault::kBusy);
  store_.Release();
  RunUntilEnd();
  EXPECT_EQ(fault_, StoreFault::kBusy);
}

}  // namespace
}  // namespace lynxglade::process::store
