#include "connection/event/tunnel.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "base/metrics.h"
#include "connection/event/caller_server.h"
#include "connection/event/connect.h"
#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {
namespace {

// More than fits into the buffers of both sockets.
constexpr std::size_t kUploadBytes = std::size_t{16} * 1024 * 1024;
// Fits into a receive buffer, but not into a small send buffer.
constexpr std::size_t kAnswerBytes = std::size_t{48} * 1024;
constexpr int kSmallBuffer = 4096;

// An asker, the process in between and a target, all on one loop.
class TunnelTest : public testing::Test {
 protected:
  TunnelTest()
      : server_(
            loop_,
            {.endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0)},
            [] { return CallerServerLimits(); },
            [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
              return Serve(std::move(request), reply);
            },
            base::BootClock::now,
            metrics_) {
    std::string reason;
    EXPECT_TRUE(server_.Start(&reason)) << reason;
    asio::co_spawn(loop_, AcceptTarget(), asio::detached);
  }

  Awaitable<void> AcceptTarget() {
    ErrorCode ec;
    target_.emplace(co_await acceptor_.async_accept(Into(ec)));
  }

  Awaitable<void> Serve(std::shared_ptr<CallerRequest> request,
                        CallerReply& reply) {
    asked_for_ = TunnelTarget(request->head);
    if (refuse_with_) {
      AnswerHead head;
      head.status = ToStatus(*refuse_with_);
      co_await reply.SendWhole(std::move(head), {});
      co_return;
    }
    far_ = std::make_shared<Tcp::socket>(loop_);
    co_await Connect(loop_, far_, acceptor_.local_endpoint(),
                     std::chrono::seconds(5));
    near_ = co_await reply.SwitchProtocols(kTunnelProtocol);
    co_await RunTunnel(loop_, *near_, *far_);
    near_ = nullptr;
    ended_ = true;
  }

  TunnelReply Open() {
    std::optional<TunnelReply> reply;
    asio::co_spawn(
        loop_,
        [&]() -> Awaitable<void> {
          reply = co_await OpenTunnel(
              loop_, asker_,
              Tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()),
              "t1", timeout_);
        },
        asio::detached);
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }
  void OpenWithTarget() {
    ASSERT_EQ(Open(), TunnelReply::kOpened);
    RunUntil([this] { return target_.has_value(); });
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      loop_.restart();
      ASSERT_GT(loop_.run_one_for(std::chrono::seconds(30)), 0U);
    }
  }
  // Reads to the end of the connection.
  ErrorCode ReadAll(Tcp::socket& socket, std::string* bytes) {
    std::optional<ErrorCode> end;
    asio::async_read(socket, asio::dynamic_buffer(*bytes),
                     [&](const ErrorCode& ec, std::size_t) { end = ec; });
    RunUntil([&] { return end.has_value(); });
    return *end;
  }
  void Write(Tcp::socket& socket, const std::string& bytes) {
    bool written = false;
    asio::async_write(socket, asio::buffer(bytes),
                      [&](const ErrorCode&, std::size_t) { written = true; });
    RunUntil([&] { return written; });
  }

  asio::io_context loop_;
  base::Metrics metrics_;
  Tcp::acceptor acceptor_{loop_,
                          Tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  CallerServer server_;
  std::shared_ptr<Tcp::socket> asker_ = std::make_shared<Tcp::socket>(loop_);
  std::optional<Tcp::socket> target_;
  std::shared_ptr<Tcp::socket> far_;
  Tcp::socket* near_ = nullptr;
  std::optional<TunnelReply> refuse_with_;
  base::Duration timeout_ = std::chrono::seconds(5);
  std::string asked_for_;
  bool ended_ = false;
};

TEST_F(TunnelTest, BytesPassUnchangedInBothDirections) {
  OpenWithTarget();
  EXPECT_EQ(asked_for_, "t1");
  std::string request(300'000, '\0');
  for (std::size_t i = 0; i < request.size(); ++i) {
    request[i] = static_cast<char>(i * 31 % 251);
  }
  std::string got(request.size(), ' ');
  bool read = false;
  asio::async_read(*target_, asio::buffer(got),
                   [&](const ErrorCode&, std::size_t) { read = true; });
  Write(*asker_, request);
  RunUntil([&] { return read; });
  EXPECT_EQ(got, request);
  Write(*target_, "HTTP/1.1 200 OK\r\n\r\nbody");
  CloseSocket(*target_);
  std::string answer;
  EXPECT_EQ(ReadAll(*asker_, &answer), asio::error::eof);
  EXPECT_EQ(answer, "HTTP/1.1 200 OK\r\n\r\nbody");
  CloseSocket(*asker_);
  RunUntil([this] { return ended_; });
}

// Guards against ORDER: an answer that is delimited by its connection, and is
// broken off at the target, would be taken for complete.
TEST_F(TunnelTest, ResetByTheTargetIsAReset) {
  OpenWithTarget();
  Write(*target_, "HTTP/1.1 200 OK\r\n\r\nbo");
  RunUntil([this] { return asker_->available() > 0; });
  ResetSocket(*target_);
  std::string answer;
  EXPECT_EQ(ReadAll(*asker_, &answer), asio::error::connection_reset);
  RunUntil([this] { return ended_; });
}

// Guards against MIXED: the reset is told to the write of the request, and the
// read that follows sees an end.
TEST_F(TunnelTest, ResetWhileTheRequestIsWrittenIsAReset) {
  OpenWithTarget();
  const std::string request(kUploadBytes, 'x');
  std::optional<ErrorCode> written;
  asio::async_write(*asker_, asio::buffer(request),
                    [&](const ErrorCode& ec, std::size_t) { written = ec; });
  Write(*target_, "HTTP/1.1 200 OK\r\n\r\nbo");
  RunUntil([this] { return asker_->available() > 0; });
  ResetSocket(*target_);
  RunUntil([&] { return written.has_value(); });
  EXPECT_EQ(*written, asio::error::connection_reset);
  RunUntil([this] { return ended_; });
}

// Guards against the loss of an answer that its target ended before it reset
// the connection, as it does not read the rest of the request.
TEST_F(TunnelTest, AnAnswerThatEndedBeforeTheResetArrivesWhole) {
  asker_->open(Tcp::v4());
  asker_->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  OpenWithTarget();
  RunUntil([this] { return near_ != nullptr; });
  // The process in between holds most of the answer.
  near_->set_option(asio::socket_base::send_buffer_size(kSmallBuffer));
  const std::string request(kUploadBytes, 'x');
  asio::async_write(*asker_, asio::buffer(request),
                    [](const ErrorCode&, std::size_t) {});
  const std::string answer(kAnswerBytes, 'y');
  asio::async_write(*target_, asio::buffer(answer),
                    [this](const ErrorCode&, std::size_t) {
                      ErrorCode ec;
                      target_->shutdown(Tcp::socket::shutdown_send, ec);
                    });
  RunUntil([this] { return HasPeerClosedItsSide(*far_); });
  ResetSocket(*target_);
  loop_.poll();
  std::string got;
  EXPECT_EQ(ReadAll(*asker_, &got), asio::error::eof);
  EXPECT_EQ(got, answer);
  CloseSocket(*asker_);
  RunUntil([this] { return ended_; });
}

// The same if the process in between ends.
TEST_F(TunnelTest, EndOfTheProcessInBetweenIsAReset) {
  OpenWithTarget();
  Write(*target_, "HTTP/1.1 200 OK\r\n\r\nbo");
  RunUntil([this] { return near_ != nullptr && asker_->available() > 0; });
  // As the kernel closes the sockets of a process that is killed.
  ErrorCode ec;
  near_->close(ec);
  std::string answer;
  EXPECT_EQ(ReadAll(*asker_, &answer), asio::error::connection_reset);
}

// Guards against GONE: a target goes on working for a caller that has left.
TEST_F(TunnelTest, ResetByTheAskerReachesTheTarget) {
  OpenWithTarget();
  Write(*asker_, "POST / HTTP/1.1\r\n");
  RunUntil([this] { return target_->available() > 0; });
  ResetSocket(*asker_);
  std::string request;
  EXPECT_EQ(ReadAll(*target_, &request), asio::error::connection_reset);
  RunUntil([this] { return ended_; });
}

TEST_F(TunnelTest, RefusalsAreToldApart) {
  for (const TunnelReply it :
       {TunnelReply::kTargetRefused, TunnelReply::kTargetSilent,
        TunnelReply::kNoOwnWay, TunnelReply::kTargetUnreached,
        TunnelReply::kBusy, TunnelReply::kForbidden}) {
    refuse_with_ = it;
    asker_ = std::make_shared<Tcp::socket>(loop_);
    EXPECT_EQ(Open(), it) << ToString(it);
    EXPECT_FALSE(asker_->is_open());
  }
}

// Guards against bytes that are no answer and never end.
TEST_F(TunnelTest, EndlessReplyIsNone) {
  Tcp::acceptor endless(loop_,
                        Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::size_t sent = 0;
  bool closed = false;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        ErrorCode ec;
        Tcp::socket socket = co_await endless.async_accept(Into(ec));
        const std::string piece(1024, 'x');
        while (!ec) {
          sent +=
              co_await asio::async_write(socket, asio::buffer(piece), Into(ec));
        }
        closed = true;
      },
      asio::detached);
  std::optional<TunnelReply> reply;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        reply = co_await OpenTunnel(loop_, asker_, endless.local_endpoint(),
                                    "t1", timeout_);
      },
      asio::detached);
  RunUntil([&] { return reply && closed; });
  EXPECT_EQ(*reply, TunnelReply::kNoReply);
}

TEST_F(TunnelTest, SilentProcessIsGivenUpInTime) {
  Tcp::acceptor silent(loop_,
                       Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::optional<TunnelReply> reply;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        reply = co_await OpenTunnel(loop_, asker_, silent.local_endpoint(),
                                    "t1", std::chrono::milliseconds(50));
      },
      asio::detached);
  RunUntil([&] { return reply.has_value(); });
  EXPECT_EQ(*reply, TunnelReply::kNoReply);
}

}  // namespace
}  // namespace lynxglade::connection::event
