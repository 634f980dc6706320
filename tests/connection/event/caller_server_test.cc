#include "connection/event/caller_server.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "connection/event/loop_thread.h"
#include "connection/raw_client.h"

namespace lynxglade::connection::event {
namespace {

using tests::RawClient;

// Server that answers each request with its body and records it.
class CallerServerTest : public testing::Test {
 protected:
  CallerServerTest()
      : server_(
            loop_,
            {.endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
             .max_buffered_bytes = 1000,
             .is_overloaded = [this] { return overloaded_.load(); }},
            [this] { return bounds_; },
            [this](std::shared_ptr<CallerRequest> request,
                   CallerReply& reply) -> Awaitable<void> {
              bodies_.push_back(request->body);
              if (hold_) {
                co_await Hold(reply);
                co_return;
              }
              AnswerHead head;
              head.status = 200;
              co_await reply.SendWhole(std::move(head), request->body);
            },
            base::BootClock::now,
            metrics_) {
    std::string reason;
    EXPECT_TRUE(server_.Start(&reason)) << reason;
    thread_.emplace(loop_);
  }
  ~CallerServerTest() override { thread_.reset(); }

  // Waits for the caller to disconnect.
  Awaitable<void> Hold(CallerReply& reply) {
    asio::steady_timer timer(loop_, asio::steady_timer::time_point::max());
    reply.OnDisconnect([&timer] { timer.cancel(); });
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
    disconnected_ = reply.disconnected();
  }

  std::string Exchange(const std::string& bytes) {
    RawClient client(server_.port());
    client.Send(bytes);
    return client.ReadToEnd();
  }
  // Sends `bytes` and returns the status line's start; the server must close
  // the connection.
  std::string Status(const std::string& bytes) {
    return Exchange(bytes).substr(0, 12);
  }

  CallerServerLimits bounds_{.max_header_bytes = 512,
                             .max_body_bytes = 100,
                             .header_timeout = std::chrono::seconds(20),
                             .idle_timeout = std::chrono::seconds(20)};
  asio::io_context loop_;
  base::Metrics metrics_;
  std::vector<std::string> bodies_;
  std::atomic<bool> overloaded_ = false;
  bool hold_ = false;
  bool disconnected_ = false;
  CallerServer server_;
  std::optional<LoopThread> thread_;
};

TEST_F(CallerServerTest, ServesPipelinedRequests) {
  const std::string answers = Exchange(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
      "Connection: close\r\n\r\ncd");
  EXPECT_LT(answers.find("ab"), answers.find("cd"));
  EXPECT_EQ(bodies_, (std::vector<std::string>{"ab", "cd"}));
}

// Guards against RECOVER: what an instance cannot serve it leaves unread, so
// that the caller turns to another one; connections in use go on.
TEST_F(CallerServerTest, OverloadLeavesNewConnectionsUnread) {
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  RawClient kept(server_.port());
  kept.Send(request);
  EXPECT_TRUE(kept.ReadHead().starts_with("HTTP/1.1 200"));
  overloaded_ = true;
  EXPECT_EQ(Exchange(request), "");
  kept.Send(request);
  EXPECT_TRUE(kept.ReadHead().starts_with("HTTP/1.1 200"));
  overloaded_ = false;
  EXPECT_TRUE(Status("GET /a HTTP/1.1\r\nHost: h\r\nConnection: "
                     "close\r\n\r\n")
                  .starts_with("HTTP/1.1 200"));
  thread_.reset();
  EXPECT_EQ(bodies_.size(), 3u);
}

TEST_F(CallerServerTest, DecodesChunkedBodies) {
  const std::string answer = Exchange(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  EXPECT_TRUE(answer.ends_with("abc"));
}

TEST_F(CallerServerTest, SendsContinueWhenExpected) {
  RawClient client(server_.port());
  client.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
      "Expect: 100-continue\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(client.ReadHead().starts_with("HTTP/1.1 100"));
  client.Send("ab");
  EXPECT_TRUE(client.ReadToEnd().ends_with("ab"));
}

// Guards against bytes that are no request and come without end: the size line
// of a chunk, or trailers, were read ahead without a bound.
TEST_F(CallerServerTest, EndsConnectionsWithEndlessChunkHeads) {
  constexpr std::size_t kMaxSent = std::size_t{8} * 1024 * 1024;
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* start : {"5;a=", "0\r\nA: ", "0"}) {
    RawClient client(server_.port());
    client.Send(head + start);
    const std::string piece(4096, start[0] == '0' && start[1] == 0 ? '0' : 'x');
    std::size_t sent = 0;
    while (sent < kMaxSent && client.Send(piece)) {
      sent += piece.size();
    }
    EXPECT_LT(sent, kMaxSent) << start;
  }
  EXPECT_TRUE(bodies_.empty());
}

// The end of a connection does not end a request.
TEST_F(CallerServerTest, DoesNotServeRequestsThatTheirCallerCutOff) {
  for (const char* bytes :
       {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab",
        "POST /a HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\n\r\nab",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\n"}) {
    RawClient client(server_.port());
    client.Send(bytes);
    client.CloseSending();
    EXPECT_EQ(client.ReadToEnd(), "") << bytes;
  }
  EXPECT_TRUE(bodies_.empty());
}

// So a request with neither a length nor chunks has no body.
TEST_F(CallerServerTest, ARequestWithoutALengthHasNoBody) {
  RawClient client(server_.port());
  client.Send("POST /a HTTP/1.0\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(client.ReadToEnd().ends_with("\r\n\r\n"));
  EXPECT_EQ(bodies_, std::vector<std::string>{""});
}

// Each of these could be parsed as one request or as two.
TEST_F(CallerServerTest, RejectsAmbiguousFraming) {
  const std::vector<std::string> heads = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
      "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Content-Length: -1\r\n",
      "Content-Length: 1x\r\n",
      "Content-Length : 5\r\n",
  };
  for (const std::string& head : heads) {
    EXPECT_EQ(Status("POST /a HTTP/1.1\r\nHost: h\r\n" + head +
                     "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"),
              "HTTP/1.1 400")
        << head;
  }
  EXPECT_TRUE(bodies_.empty());
}

TEST_F(CallerServerTest, RejectsTooLargeHeadsAndBodies) {
  EXPECT_EQ(Status("POST /a HTTP/1.1\r\nHost: h\r\nX: " +
                   std::string(600, 'x') + "\r\n\r\n"),
            "HTTP/1.1 431");
  EXPECT_EQ(
      Status("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"),
      "HTTP/1.1 413");
  EXPECT_TRUE(bodies_.empty());
}

TEST_F(CallerServerTest, RejectsSlowHeads) {
  thread_->Do([this] {
    bounds_.header_timeout = std::chrono::milliseconds(20);
    return true;
  });
  EXPECT_EQ(Status("POST /a HTT"), "HTTP/1.1 408");
}

TEST_F(CallerServerTest, ClosesIdleConnectionsWithoutAnAnswer) {
  thread_->Do([this] {
    bounds_.idle_timeout = std::chrono::milliseconds(20);
    return true;
  });
  EXPECT_EQ(Exchange(""), "");
}

TEST_F(CallerServerTest, DetectsThatTheCallerDisconnects) {
  thread_->Do([this] { return hold_ = true; });
  {
    RawClient client(server_.port());
    client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    thread_->Await([this] { return server_.busy() == 1; });
  }
  thread_->Await([this] { return disconnected_; });
}

TEST_F(CallerServerTest, AnswersCloseTheConnectionWhileDraining) {
  thread_->Do([this] {
    server_.BeginDrain();
    return true;
  });
  const std::string answer = Exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST_F(CallerServerTest, CloseIdleClosesIdleConnections) {
  RawClient client(server_.port());
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(client.ReadHead().starts_with("HTTP/1.1 200"));
  thread_->Await([this] {
    server_.CloseIdle();
    return server_.connections() == 0;
  });
  EXPECT_EQ(client.ReadToEnd(), "");
}

// What is no request by RFC 9110 and 9112 is refused, and never served.
TEST_F(CallerServerTest, RefusesMalformedHeads) {
  using namespace std::string_literals;  // NOLINT
  for (const std::string& line :
       {"X Y: 1"s,
        "X\tY: 1"s,
        "X\x01Y: 1"s,
        "X\x7fY: 1"s,
        "X\0Y: 1"s,
        "X : 1"s,
        "X"s,
        ": 1"s,
        "X: a\x01"s,
        "X: a\0b"s,
        "X: a\rb"s,
        "Content-Length: +2"s,
        "Content-Length: -2"s,
        "Content-Length: 0x2"s,
        "Content-Length: 2\r\nContent-Length: 3"s,
        "Content-Length: 2, 3"s,
        "Content-Length: 2\r\nTransfer-Encoding: chunked"s,
        "Transfer-Encoding: gzip"s,
        "Transfer-Encoding: gzip, chunked"s,
        "Transfer-Encoding: chunked, chunked"s}) {
    EXPECT_EQ(Status("POST /a HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\nok"),
              "HTTP/1.1 400")
        << line;
  }
  thread_.reset();
  EXPECT_TRUE(bodies_.empty());
}

}  // namespace
}  // namespace lynxglade::connection::event
