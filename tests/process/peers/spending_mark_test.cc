#include "process/peers/spending_mark.h"

#include <chrono>
#include <memory>
#include <optional>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::peers {
namespace {

namespace asio = connection::event::asio;
using std::chrono::milliseconds;

constexpr char kKey[] = "lynxglade/spending/me";

class SpendingMarkTest : public testing::Test {
 protected:
  // Starts a lifetime.
  void Start() {
    mark_ = std::make_unique<SpendingMark>(
        loop_, store_,
        SpendingMarkOptions{.instance = base::InstanceId("me"),
                            .count_time = milliseconds(30),
                            .retry_interval = milliseconds(1),
                            .poll_interval = milliseconds(1)},
        SpendingMarkHooks{.on_unmarked_start = [this] { ++unmarked_starts_; },
                          .on_marked = [this](bool it) { marked_ = it; },
                          .needs_mark = [this] { return needed_; }},
        base::BootClock::now, base::SeededRandom(1));
    asio::co_spawn(loop_, mark_->Run(), asio::detached);
    store::RunReady(loop_);
  }
  bool IsMarked() const { return store_.items().contains(kKey); }

  asio::io_context loop_;
  store::FakeStorePort store_{loop_};
  std::unique_ptr<SpendingMark> mark_;
  int unmarked_starts_ = 0;
  bool marked_ = false;
  bool needed_ = false;
};

TEST_F(SpendingMarkTest, StartWithoutAMarkIsMarkedWhileItsPastCounts) {
  Start();
  EXPECT_EQ(unmarked_starts_, 1);
  EXPECT_TRUE(IsMarked());
  EXPECT_FALSE(marked_);
  store::RunUntil(loop_, [this] { return !IsMarked(); });
}

// Guards against BUDGET: a lifetime that follows one that spent much, or that
// had itself just started.
TEST_F(SpendingMarkTest, RestartFindsTheMark) {
  store_.Write(kKey, "");
  Start();
  EXPECT_EQ(unmarked_starts_, 0);
  EXPECT_TRUE(IsMarked());
  store::RunUntil(loop_, [this] { return !IsMarked(); });
}

// A start cannot be told from a second one if the store took the write and its
// answer was lost.
TEST_F(SpendingMarkTest, StartWithALostAnswerCountsAsMarked) {
  store_.LoseNextResponse();
  Start();
  store::RunUntil(loop_, [this] { return !IsMarked(); });
  EXPECT_EQ(unmarked_starts_, 0);
}

TEST_F(SpendingMarkTest, UnreachableStoreTellsNothingUntilItIsBack) {
  store_.Fail(store::StoreFault::kTimeout);
  Start();
  EXPECT_EQ(unmarked_starts_, 0);
  store_.Fail(std::nullopt);
  store::RunUntil(loop_, [this] { return unmarked_starts_ == 1; });
  EXPECT_TRUE(IsMarked());
}

TEST_F(SpendingMarkTest, MarkIsWrittenOnRequestAndRemovedOnceNotNeeded) {
  Start();
  store::RunUntil(loop_, [this] { return !IsMarked(); });
  needed_ = true;
  mark_->Request();
  store::RunUntil(loop_, [this] { return marked_; });
  EXPECT_TRUE(IsMarked());
  needed_ = false;
  store::RunUntil(loop_, [this] { return !IsMarked(); });
  EXPECT_FALSE(marked_);
}

// Nothing is spent on a mark that may not be in the store.
TEST_F(SpendingMarkTest, RequestWithALostAnswerIsRepeated) {
  Start();
  store::RunUntil(loop_, [this] { return !IsMarked(); });
  needed_ = true;
  store_.LoseNextResponse();
  mark_->Request();
  store::RunUntil(loop_, [this] { return IsMarked(); });
  EXPECT_FALSE(marked_);
  store::RunUntil(loop_, [this] { return marked_; });
}

}  // namespace
}  // namespace lynxglade::process::peers
