// Guards against LOST: a name, value, target or trailer of more than 64 KiB
// ended the process that read it, whatever the limit on headers.
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "connection/event/caller_server.h"
#include "connection/event/exchange.h"
#include "connection/event/loop_thread.h"
#include "connection/raw_client.h"

namespace lynxglade::connection::event {
namespace {

using tests::RawClient;

constexpr std::size_t kLarge = 70'000;
constexpr std::size_t kHeaderLimit = std::size_t{256} * 1024;

// A server that passes each request on to another one, which keeps it.
class LargeHeadTest : public testing::Test {
 protected:
  LargeHeadTest() {
    Start(origin_,
          [this](std::shared_ptr<CallerRequest> request,
                 CallerReply& reply) -> Awaitable<void> {
            came_ = request->head;
            AnswerHead head;
            head.status = 200;
            co_await reply.SendWhole(std::move(head), request->body);
          });
    Start(
        server_,
        [this](std::shared_ptr<CallerRequest> request,
               CallerReply& reply) -> Awaitable<void> {
          OutgoingRequest message(request->head, request->body);
          message.content_length(request->body.size());
          Exchange exchange(pool_);
          co_await exchange.Start(
              Tcp::endpoint(asio::ip::address_v4::loopback(), origin_->port()),
              std::move(message), {}, ChannelReuse::kAny);
          AnswerHead head;
          head.status = exchange.state() == ExchangeState::kBroken
                            ? 502U
                            : exchange.head().result_int();
          const std::string body = co_await exchange.ReadRest(1000);
          co_await reply.SendWhole(std::move(head), body);
        });
    thread_.emplace(loop_);
  }
  ~LargeHeadTest() override { thread_.reset(); }

  void Start(std::unique_ptr<CallerServer>& server, CallerHandler handler) {
    server = std::make_unique<CallerServer>(
        loop_,
        CallerServerOptions{
            .endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0)},
        [this] { return bounds_; }, std::move(handler), base::BootClock::now,
        metrics_);
    std::string reason;
    EXPECT_TRUE(server->Start(&reason)) << reason;
  }

  // Sends a request with these lines and returns the answer's status line.
  std::string Send(const std::string& lines,
                   const std::string& target = "/a",
                   const std::string& rest = {}) {
    RawClient client(server_->port());
    client.Send("POST " + target +
                " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + lines +
                "\r\n" + rest);
    const std::string answer = client.ReadToEnd();
    return answer.substr(0, answer.find("\r\n"));
  }
  // The value that arrived at the origin.
  std::string Came(const std::string& name) {
    return thread_->Do([&] { return std::string(View(came_[name])); });
  }

  CallerServerLimits bounds_{.max_header_bytes = kHeaderLimit};
  asio::io_context loop_;
  base::Metrics metrics_;
  ChannelPool pool_{loop_, base::BootClock::now};
  RequestHead came_;
  std::unique_ptr<CallerServer> origin_;
  std::unique_ptr<CallerServer> server_;
  std::optional<LoopThread> thread_;
};

TEST_F(LargeHeadTest, ValuesArePassedOnWhole) {
  for (const std::size_t size :
       {std::size_t{65'532}, std::size_t{65'533}, std::size_t{65'534},
        std::size_t{65'536}, kLarge, std::size_t{200'000}}) {
    const std::string value(size, 'v');
    EXPECT_EQ(Send("X-Large: " + value + "\r\nContent-Length: 0\r\n"),
              "HTTP/1.1 200 OK");
    EXPECT_EQ(Came("X-Large"), value) << size;
  }
}

TEST_F(LargeHeadTest, NamesArePassedOnWhole) {
  const std::string name(kLarge, 'n');
  EXPECT_EQ(Send(name + ": v\r\nContent-Length: 0\r\n"), "HTTP/1.1 200 OK");
  EXPECT_EQ(Came(name), "v");
}

TEST_F(LargeHeadTest, TargetsArePassedOnWhole) {
  const std::string target = '/' + std::string(kLarge, 't');
  EXPECT_EQ(Send("Content-Length: 0\r\n", target), "HTTP/1.1 200 OK");
  EXPECT_EQ(thread_->Do([this] { return std::string(View(came_.target())); }),
            target);
}

TEST_F(LargeHeadTest, ManyFieldsArePassedOn) {
  std::string lines = "Content-Length: 0\r\n";
  for (int i = 0; lines.size() < kLarge; ++i) {
    lines += "X-" + std::to_string(i) + ": v\r\n";
  }
  EXPECT_EQ(Send(lines), "HTTP/1.1 200 OK");
  EXPECT_EQ(Came("X-5000"), "v");
}

TEST_F(LargeHeadTest, HeadsBeyondTheLimitAreRejected) {
  EXPECT_EQ(Send("X: " + std::string(kHeaderLimit, 'v') + "\r\n"),
            "HTTP/1.1 431 Request Header Fields Too Large");
}

// With any limit on headers: trailers are read ahead of it.
TEST_F(LargeHeadTest, TrailersEndAtMostTheirConnection) {
  thread_->Do([this] {
    bounds_.max_header_bytes = 16'384;
    return true;
  });
  for (const std::size_t size :
       {std::size_t{65'000}, std::size_t{66'000}, kLarge}) {
    Send("Transfer-Encoding: chunked\r\n", "/a",
         "3\r\nabc\r\n0\r\nX-Trailer: " + std::string(size, 't') + "\r\n\r\n");
    EXPECT_EQ(Came("X-Trailer"), "") << size;
  }
  EXPECT_EQ(Send("Content-Length: 0\r\n"), "HTTP/1.1 200 OK");
}

// A trailer is no header: it would reach the target as one that the head did
// not have when it was checked.
TEST_F(LargeHeadTest, TrailersDoNotPassForHeaders) {
  EXPECT_EQ(Send("Transfer-Encoding: chunked\r\n", "/a",
                 "3\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\n"),
            "HTTP/1.1 200 OK");
  EXPECT_EQ(Came("X-Trailer"), "");
}

}  // namespace
}  // namespace lynxglade::connection::event
