// Guards against ORDER: a caller to which the end of the connection is the end
// of the body takes a broken-off answer for a complete one.
#include "connection/event/caller_reply.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "connection/answer_text.h"
#include "connection/event/caller_server.h"
#include "connection/event/loop_thread.h"
#include "connection/raw_client.h"

namespace lynxglade::connection::event {
namespace {

using tests::AnswerText;
using tests::RawClient;

constexpr char kPiece[] = "data: x\n\n";

class CallerReplyTest : public testing::Test {
 protected:
  using Handler = std::function<Awaitable<void>(CallerReply&)>;

  void Serve(Handler handler) {
    handler_ = std::move(handler);
    loop_ = std::make_unique<asio::io_context>();
    server_ = std::make_unique<CallerServer>(
        *loop_,
        CallerServerOptions{
            .endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0)},
        [] { return CallerServerLimits(); },
        [this](std::shared_ptr<CallerRequest>, CallerReply& reply) {
          return handler_(reply);
        },
        base::BootClock::now, metrics_);
    std::string reason;
    ASSERT_TRUE(server_->Start(&reason)) << reason;
    client_ = std::make_unique<RawClient>(server_->port());
    thread_.emplace(*loop_);
  }
  ~CallerReplyTest() override { StopServer(); }
  // The sockets close as those of a process that ends.
  void StopServer() {
    thread_.reset();
    server_.reset();
    loop_.reset();
  }

  void Send(const std::string& version) {
    client_->Send("GET / " + version + "\r\nHost: h\r\n\r\n");
  }
  AnswerText Read() {
    AnswerText answer;
    answer.Feed(client_->ReadToEnd());
    answer.EndConnection(client_->reset());
    return answer;
  }
  static AnswerHead Head() {
    AnswerHead head;
    head.status = 200;
    return head;
  }
  static Awaitable<void> BreakOff(CallerReply& reply) {
    reply.Begin(Head());
    co_await reply.SendPiece(kPiece);
  }
  // Sends a piece and does not go on.
  Awaitable<void> Hang(CallerReply& reply) {
    reply.Begin(Head());
    co_await reply.SendPiece(kPiece);
    hangs_ = true;
    asio::steady_timer timer(*loop_, asio::steady_timer::time_point::max());
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }

  base::Metrics metrics_;
  Handler handler_;
  bool hangs_ = false;
  std::unique_ptr<asio::io_context> loop_;
  std::unique_ptr<CallerServer> server_;
  std::unique_ptr<RawClient> client_;
  std::optional<LoopThread> thread_;
};

TEST_F(CallerReplyTest, AnAnswerThatItsHandlerLeavesOpenIsNotComplete) {
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    Serve(BreakOff);
    Send(version);
    EXPECT_TRUE(Read().broken()) << version;
    StopServer();
  }
}

TEST_F(CallerReplyTest, AnAnswerThatEndsWithItsProcessIsNotComplete) {
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    hangs_ = false;
    Serve([this](CallerReply& reply) { return Hang(reply); });
    Send(version);
    thread_->Await([this] { return hangs_; });
    StopServer();
    EXPECT_TRUE(Read().broken()) << version;
  }
}

// The end of a complete answer must not be a reset, which would discard what is
// not yet sent.
TEST_F(CallerReplyTest, AWholeAnswerIsComplete) {
  constexpr std::size_t kBytes = std::size_t{4} * 1024 * 1024;
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    Serve([](CallerReply& reply) -> Awaitable<void> {
      reply.Begin(Head());
      const std::string body(kBytes, 'x');
      co_await reply.SendPiece(body);
      co_await reply.End();
    });
    client_->Send("GET / " + std::string(version) +
                  "\r\nHost: h\r\nConnection: close\r\n\r\n");
    const AnswerText answer = Read();
    EXPECT_EQ(answer.body().size(), kBytes) << version;
    EXPECT_TRUE(answer.complete()) << version;
    StopServer();
  }
}

}  // namespace
}  // namespace lynxglade::connection::event
