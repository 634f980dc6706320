// Guards against LOST: an exception of one request, connection or task ended
// the process, and with it what it served for other callers.
#include "connection/event/tasks.h"

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/post.hpp>

#include "connection/event/caller_server.h"
#include "connection/event/sleep.h"
#include "connection/raw_client.h"

namespace lynxglade::connection::event {
namespace {

using tests::RawClient;

Awaitable<void> FailAfter(asio::io_context& loop, base::Duration wait) {
  co_await SleepFor(loop, wait);
  throw std::runtime_error("on purpose");
}

TEST(TasksTest, ATaskThatFailsEndsAlone) {
  asio::io_context loop;
  int ended = 0;
  bool other = false;
  Spawn(loop, "failing", FailAfter(loop, base::Duration(0)),
        [&ended] { ++ended; });
  Spawn(loop, "other", SleepFor(loop, std::chrono::milliseconds(5)),
        [&other] { other = true; });
  RunLoop(loop);
  EXPECT_EQ(ended, 1);
  EXPECT_TRUE(other);
}

TEST(TasksTest, AHandlerThatThrowsDoesNotEndTheLoop) {
  asio::io_context loop;
  bool other = false;
  asio::post(loop, [] { throw std::runtime_error("on purpose"); });
  asio::post(loop, [] { throw 1; });
  asio::post(loop, [&other] { other = true; });
  RunLoop(loop);
  EXPECT_TRUE(other);
}

TEST(TasksTest, APermanentTaskIsBegunAgain) {
  asio::io_context loop;
  int begun = 0;
  const auto make = [&]() -> Awaitable<void> {
    if (++begun < 4) {
      co_await FailAfter(loop, base::Duration(0));
    }
  };
  SpawnPermanent(loop, "permanent", make,
                 {.min_delay = std::chrono::milliseconds(1),
                  .max_delay = std::chrono::milliseconds(2)});
  RunLoop(loop);
  EXPECT_EQ(begun, 4);
}

// What an operation's handler throws reaches no task that waits for it.
TEST(TasksTest, APermanentTaskIsBegunAgainAfterItsHandlerThrew) {
  asio::io_context loop;
  int begun = 0;
  const auto make = [&]() -> Awaitable<void> {
    if (++begun == 1) {
      co_await asio::async_initiate<decltype(asio::use_awaitable), void()>(
          [&loop](auto handler) {
            asio::post(loop, [handler = std::move(handler)]() mutable {
              throw std::runtime_error("on purpose");
            });
          },
          asio::use_awaitable);
    }
  };
  SpawnPermanent(loop, "permanent", make,
                 {.min_delay = std::chrono::milliseconds(1),
                  .max_delay = std::chrono::milliseconds(2)});
  RunLoop(loop);
  EXPECT_EQ(begun, 2);
}

// Guards against a stop that ends by a signal: tasks ended with the loop, after
// what they use.
TEST(TasksTest, TasksEndBeforeWhatTheyUse) {
  EventLoop loop;
  auto used = std::make_unique<int>(0);
  const auto task = [&]() -> Awaitable<void> {
    const std::unique_ptr<int, std::function<void(int*)>> holder(
        used.get(), [](int* it) { ++*it; });
    co_await SleepFor(loop, std::chrono::hours(1));
  };
  Spawn(loop, "waiting", task());
  loop.poll();
  loop.EndTasks();
  EXPECT_EQ(*used, 1);
  used.reset();
}

class FailingServerTest : public testing::Test {
 protected:
  FailingServerTest()
      : server_(
            loop_,
            {.endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0)},
            [] { return CallerServerLimits(); },
            [](std::shared_ptr<CallerRequest> request,
               CallerReply& reply) -> Awaitable<void> {
              AnswerHead head;
              head.status = 200;
              if (request->head.target() == "/begun") {
                reply.Begin(std::move(head));
                co_await reply.SendPiece("abc");
                throw std::runtime_error("on purpose");
              }
              if (request->head.target() == "/fails") {
                throw std::runtime_error("on purpose");
              }
              co_await reply.SendWhole(std::move(head), "fine");
            },
            base::BootClock::now,
            metrics_) {
    std::string reason;
    EXPECT_TRUE(server_.Start(&reason)) << reason;
    thread_.emplace([this] {
      const auto work = asio::make_work_guard(loop_);
      RunLoop(loop_);
    });
  }
  ~FailingServerTest() override {
    loop_.stop();
    thread_->join();
  }

  static std::string Request(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  // Requests in the handler, asked for on the loop.
  std::size_t Busy() {
    std::promise<std::size_t> busy;
    asio::post(loop_, [&] { busy.set_value(server_.busy()); });
    return busy.get_future().get();
  }

  asio::io_context loop_;
  base::Metrics metrics_;
  CallerServer server_;
  std::optional<std::thread> thread_;
};

TEST_F(FailingServerTest, ARequestThatFailsIsAnsweredAndOthersAreServed) {
  RawClient other(server_.port());
  other.Send(Request("/"));
  EXPECT_TRUE(other.ReadHead().starts_with("HTTP/1.1 200"));
  for (int i = 0; i < 3; ++i) {
    RawClient client(server_.port());
    client.Send(Request("/fails"));
    const std::string answer = client.ReadToEnd();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  }
  other.Send(Request("/"));
  EXPECT_TRUE(other.ReadHead().ends_with("\r\n\r\n"));
  while (Busy() > 0) {
    std::this_thread::yield();
  }
}

TEST_F(FailingServerTest, AnAnswerThatFailsMidwayIsNotWhole) {
  RawClient client(server_.port());
  client.Send(Request("/begun"));
  client.ReadToEnd();
  EXPECT_TRUE(client.reset());
}

}  // namespace
}  // namespace lynxglade::connection::event
