// Limits on what unauthenticated callers can do to HttpServer.
#include <pthread.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "connection/http_limits.h"
#include "connection/http_server.h"
#include "connection/raw_client.h"

namespace lynxglade::connection {
namespace {

using tests::RawClient;

constexpr std::size_t kMaxBody = 1000;
// More than a test opens in sequence: a closed connection may still occupy its
// thread for a moment.
constexpr std::size_t kConnections = 64;

class HttpServerBoundsTest : public ::testing::Test {
 protected:
  // Uses the same small thread stacks as the daemon.
  static void SetUpTestSuite() {
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kConnectionStackBytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
  }

  static HttpServerOptions Options() {
    HttpServerOptions options;
    options.max_connections = kConnections;
    options.max_body_bytes = kMaxBody;
    options.overflow.body = "full";
    options.error_body = [](int status) {
      return "refused " + std::to_string(status);
    };
    return options;
  }

  // Options for a server with at most two connections.
  static HttpServerOptions TightOptions() {
    HttpServerOptions options = Options();
    options.max_connections = 2;
    return options;
  }

  void Start(HttpServerOptions options) {
    server_.emplace(std::move(options), [this](HttpExchange& exchange) {
      ++handled_;
      const HttpRequest& http = exchange.request();
      exchange.Send(200, "text/plain", {},
                    http.Header("content-type") + "|" + http.body);
    });
    port_ = server_->Start().value();
  }

  // Sends `bytes` on a new connection and returns everything up to its end.
  std::string Answer(const std::string& bytes) {
    RawClient client(port_);
    client.Send(bytes);
    return client.ReadToEnd();
  }

  std::optional<HttpServer> server_;
  int port_ = 0;
  int handled_ = 0;
};

// The HTTP library matches this header by a recursive regular expression, which
// could overflow the stack of a connection thread.
TEST_F(HttpServerBoundsTest,
       LongRangeHeaderNeitherCrashesNorTruncatesTheAnswer) {
  Start(Options());
  std::string ranges = "0-0";
  while (ranges.size() < 8000) {
    ranges += ",0-0";
  }
  const std::string answer =
      Answer("GET / HTTP/1.1\r\nConnection: close\r\nrAnge: bytes=" + ranges +
             "\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_TRUE(answer.ends_with("\r\n\r\n|")) << answer;
}

TEST_F(HttpServerBoundsTest, HeadIsLimitedInBytesAndLines) {
  Start(Options());
  std::string bytes = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 10; ++i) {
    bytes += "X-" + std::to_string(i) + ": " + std::string(8000, 'x') + "\r\n";
  }
  EXPECT_TRUE(Answer(bytes).starts_with("HTTP/1.1 431"));
  std::string lines = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 200; ++i) {
    lines += "X-" + std::to_string(i) + ": a\r\n";
  }
  EXPECT_TRUE(Answer(lines + "\r\n").ends_with("refused 431"));
  EXPECT_EQ(server_->counters().heads_too_large, 2u);
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerBoundsTest, SlowHeadAndSlowBodyTimeOut) {
  HttpServerOptions options = Options();
  options.head_timeout = std::chrono::milliseconds(100);
  options.body_timeout = std::chrono::milliseconds(100);
  Start(options);
  EXPECT_TRUE(Answer("GET / HTTP/1.1\r\nHost").ends_with("refused 408"));
  EXPECT_TRUE(Answer("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
                  .ends_with("refused 408"));
  EXPECT_EQ(server_->counters().heads_too_slow, 1u);
  EXPECT_EQ(server_->counters().bodies_too_slow, 1u);
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerBoundsTest, ChunkedBodyIsLimitedInBytes) {
  Start(Options());
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n";
  const std::string chunk = "100\r\n" + std::string(0x100, 'x') + "\r\n";
  EXPECT_TRUE(Answer(head + chunk + "0\r\n\r\n").ends_with(chunk.substr(5, 9)))
      << "a small one is taken";
  std::string just_above = head;
  for (std::size_t n = 0; n <= kMaxBody; n += 0x100) {
    just_above += chunk;
  }
  EXPECT_TRUE(Answer(just_above + "0\r\n\r\n").ends_with("refused 413"));
  std::string endless = head;
  while (endless.size() < (1u << 20)) {
    endless += chunk;
  }
  EXPECT_TRUE(Answer(endless).ends_with("refused 413"));
  EXPECT_EQ(handled_, 1);
}

TEST_F(HttpServerBoundsTest, AmbiguousOrCompressedBodiesAreRejected) {
  Start(Options());
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::vector<std::pair<std::string, std::string>> heads = {
      {"Content-Length: 1\r\nContent-Length: 2\r\n", "400"},
      {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "400"},
      {"Content-Length: -1\r\n", "400"},
      {"Content-Length: 99999999999999999999999\r\n", "413"},
      {"Transfer-Encoding: gzip, chunked\r\n", "501"},
      {"Content-Encoding: gzip\r\nContent-Length: 1\r\n", "415"},
  };
  for (const auto& [lines, status] : heads) {
    // Bytes after such a head must not be parsed as another request.
    const std::string answer =
        Answer(post + lines + "\r\nGET /behind HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << lines << answer;
    EXPECT_TRUE(answer.ends_with("refused " + status)) << lines << answer;
  }
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerBoundsTest,
       FormsReachTheHandlerUnparsedAndMissingBodyIsEmpty) {
  Start(Options());
  const std::string form = "--b\r\nContent-Disposition: form-data\r\n\r\nx";
  EXPECT_TRUE(Answer("POST / HTTP/1.1\r\nConnection: close\r\n"
                     "Content-Type: multipart/form-data; boundary=b\r\n"
                     "Content-Length: " +
                     std::to_string(form.size()) + "\r\n\r\n" + form)
                  .ends_with("boundary=b|" + form));
  EXPECT_TRUE(Answer("DELETE / HTTP/1.1\r\nConnection: close\r\n\r\n")
                  .ends_with("\r\n\r\n|"));
}

TEST_F(HttpServerBoundsTest, BodyIsNotReadBeforeTheHeadIsScreened) {
  HttpServerOptions options = Options();
  options.screen = [](const HttpRequest& head) {
    return head.Header("authorization") == "Bearer good"
               ? std::nullopt
               : std::optional(HttpEarlyAnswer{401, {{"X-Why", "key"}}, "who"});
  };
  Start(options);
  // The answer must not wait for the body, which is never sent.
  for (const char* expect : {"", "Expect: 100-continue\r\n"}) {
    const std::string answer =
        Answer(std::string("POST / HTTP/1.1\r\nContent-Length: 900\r\n") +
               expect + "\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 401")) << answer;
    EXPECT_TRUE(answer.ends_with("who")) << answer;
  }
  EXPECT_EQ(server_->counters().heads_refused, 2u);
  EXPECT_TRUE(Answer("POST / HTTP/1.1\r\nAuthorization: Bearer good\r\n"
                     "Connection: close\r\nContent-Length: 2\r\n\r\nhi")
                  .ends_with("|hi"));
}

// Silent connections above the limit must not block the thread that sends the
// overflow answer.
TEST_F(HttpServerBoundsTest, SilentConnectionsDoNotBlockOverflowAnswers) {
  Start(TightOptions());
  RawClient first(port_);
  RawClient second(port_);
  ASSERT_TRUE(first.Send("GET / HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(second.Send("GET / HTTP/1.1\r\n\r\n"));
  EXPECT_TRUE(first.ReadHead().starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(second.ReadHead().starts_with("HTTP/1.1 200"));
  // Both connections are in the middle of their next request.
  ASSERT_TRUE(first.Send("G"));
  ASSERT_TRUE(second.Send("G"));
  RawClient silent(port_);
  EXPECT_TRUE(Answer("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(server_->counters().overflowed, 2u);
}

// More connections than may wait for the overflow answer: the rest is closed.
TEST_F(HttpServerBoundsTest, FloodOfConnectionsIsClosedUnanswered) {
  Start(TightOptions());
  std::vector<std::unique_ptr<RawClient>> flood;
  for (int i = 0; i < 200; ++i) {
    flood.push_back(std::make_unique<RawClient>(port_));
    flood.back()->Send("G");
  }
  EXPECT_EQ(flood.back()->ReadToEnd(), "");
  EXPECT_GT(server_->counters().dropped, 0u);
}

}  // namespace
}  // namespace lynxglade::connection
