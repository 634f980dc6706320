#include "connection/http_server.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <httplib.h>

namespace lynxglade::connection {
namespace {

HttpServerOptions SmallServer() {
  HttpServerOptions options;
  options.max_connections = 2;
  options.max_body_bytes = 1000;
  options.overflow.body = "full";
  return options;
}

TEST(HttpServerTest, StreamsPiecesThatTheHandlerWrites) {
  HttpServer server(SmallServer(), [](HttpExchange& exchange) {
    ASSERT_TRUE(exchange.StartStream(200, "text/plain", {{"X-Own", "1"}}));
    for (int i = 0; i < 100; ++i) {
      ASSERT_TRUE(exchange.Write(std::to_string(i) + ","));
    }
  });
  const auto port = server.Start();
  ASSERT_TRUE(port);
  httplib::Client client("127.0.0.1", *port);
  const auto answer = client.Get("/x?a=1");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->get_header_value("X-Own"), "1");
  EXPECT_TRUE(answer->body.starts_with("0,1,2,"));
  EXPECT_TRUE(answer->body.ends_with("98,99,"));
}

TEST(HttpServerTest, AbortedStreamIsDetectedByTheCaller) {
  HttpServer server(SmallServer(), [](HttpExchange& exchange) {
    exchange.StartStream(200, "text/plain", {});
    exchange.Write("part");
    exchange.Abort();
  });
  const auto port = server.Start();
  ASSERT_TRUE(port);
  httplib::Client client("127.0.0.1", *port);
  EXPECT_FALSE(client.Get("/"));
}

// A disconnect must be detected before anything is written to the caller.
TEST(HttpServerTest, DisconnectOfAWaitingCallerIsDetected) {
  std::promise<void> entered;
  std::promise<void> noticed;
  HttpServer server(SmallServer(), [&](HttpExchange& exchange) {
    EXPECT_FALSE(exchange.caller_disconnected());
    entered.set_value();
    while (!exchange.caller_disconnected()) {
      std::this_thread::yield();
    }
    noticed.set_value();
  });
  const auto port = server.Start();
  ASSERT_TRUE(port);
  httplib::Client client("127.0.0.1", *port);
  auto call = std::async(std::launch::async, [&] { return client.Get("/"); });
  entered.get_future().wait();
  client.stop();
  noticed.get_future().wait();
  EXPECT_FALSE(call.get());
}

TEST(HttpServerTest, ConnectionsAboveTheLimitGetTheOverflowAnswer) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  std::mutex mutex;
  std::condition_variable entered;
  int inside = 0;
  HttpServer server(SmallServer(), [&](HttpExchange& exchange) {
    {
      std::lock_guard lock(mutex);
      ++inside;
    }
    entered.notify_all();
    released.wait();
    exchange.Send(200, "text/plain", {}, "ok");
  });
  const auto port = server.Start();
  ASSERT_TRUE(port);
  const auto call = [&] {
    return httplib::Client("127.0.0.1", *port).Get("/");
  };
  std::vector<std::future<httplib::Result>> held;
  held.push_back(std::async(std::launch::async, call));
  held.push_back(std::async(std::launch::async, call));
  {
    std::unique_lock lock(mutex);
    entered.wait(lock, [&] { return inside == 2; });
  }
  const auto refused = call();
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->body, "full");
  EXPECT_EQ(server.overflowed_connections(), 1u);
  release.set_value();
  for (auto& it : held) {
    EXPECT_EQ(it.get()->status, 200);
  }
}

TEST(HttpServerTest, TooLargeBodyAndTooLongPathAreRejected) {
  int handled = 0;
  HttpServer server(SmallServer(), [&](HttpExchange& exchange) {
    ++handled;
    exchange.Send(200, "text/plain", {}, "ok");
  });
  const auto port = server.Start();
  ASSERT_TRUE(port);
  httplib::Client client("127.0.0.1", *port);
  const auto large = client.Post("/", std::string(2000, 'x'), "text/plain");
  ASSERT_TRUE(large);
  EXPECT_EQ(large->status, 413);
  const auto deep = client.Get("/" + std::string(4000, 'a'));
  ASSERT_TRUE(deep);
  EXPECT_EQ(deep->status, 414);
  EXPECT_EQ(handled, 0);
}

TEST(HttpServerTest, SecondServerOnThePortFailsWithAReason) {
  HttpServer first(SmallServer(), [](HttpExchange&) {});
  const auto port = first.Start();
  ASSERT_TRUE(port);
  HttpServerOptions options = SmallServer();
  options.port = *port;
  HttpServer second(options, [](HttpExchange&) {});
  EXPECT_FALSE(second.Start());
  EXPECT_NE(second.last_reason().find("cannot bind"), std::string::npos);
}

}  // namespace
}  // namespace lynxglade::connection
