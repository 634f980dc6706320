#include "process/peers/start_mark.h"

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

constexpr char kKey[] = "lynxglade/starts/me";

// Lifetimes of one instance, one after the other.
class StartMarkTest : public testing::Test {
 protected:
  void Start() {
    confirmed_ = 0;
    mark_ = std::make_unique<StartMark>(
        loop_, store_,
        StartMarkOptions{.instance = base::InstanceId("me"),
                         .lifetime = milliseconds(30),
                         .retry_interval = milliseconds(1)},
        [this] { ++confirmed_; }, base::BootClock::now, base::SeededRandom(1));
    asio::co_spawn(loop_, mark_->Run(), asio::detached);
    store::RunReady(loop_);
  }
  bool IsMarked() const { return store_.items().contains(kKey); }

  asio::io_context loop_;
  store::FakeStorePort store_{loop_};
  std::unique_ptr<StartMark> mark_;
  int confirmed_ = 0;
};

TEST_F(StartMarkTest, FirstStartIsConfirmedAndMarkedForItsTime) {
  Start();
  EXPECT_EQ(confirmed_, 1);
  EXPECT_TRUE(IsMarked());
  store::RunUntil(loop_, [this] { return !IsMarked(); });
}

TEST_F(StartMarkTest, RestartWithinThatTimeIsNotConfirmed) {
  store_.Write(kKey, "");
  Start();
  EXPECT_EQ(confirmed_, 0);
  EXPECT_TRUE(IsMarked());
  store::RunUntil(loop_, [this] { return !IsMarked(); });
}

// A start cannot be told from a second one if the store took the write and its
// answer was lost.
TEST_F(StartMarkTest, StartWithALostAnswerIsNotConfirmed) {
  store_.LoseNextResponse();
  Start();
  store::RunUntil(loop_, [this] { return !IsMarked(); });
  EXPECT_EQ(confirmed_, 0);
}

TEST_F(StartMarkTest, UnreachableStoreConfirmsNothingUntilItIsBack) {
  store_.Fail(store::StoreFault::kTimeout);
  Start();
  EXPECT_EQ(confirmed_, 0);
  store_.Fail(std::nullopt);
  store::RunUntil(loop_, [this] { return confirmed_ == 1; });
  EXPECT_TRUE(IsMarked());
}

}  // namespace
}  // namespace lynxglade::process::peers
