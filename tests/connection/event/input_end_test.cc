// Guards against MIXED: an answer that a reset cut off, taken for one that its
// target ended, because the request's write had already been told of the reset.
#include "connection/event/input_end.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "connection/event/exchange.h"
#include "connection/event/sleep.h"
#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {
namespace {

using std::chrono::milliseconds;

// More than fits into the buffers of both sockets.
constexpr std::size_t kBodyBytes = std::size_t{16} * 1024 * 1024;
constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char kUnframedStream[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

// How a target ends a connection on which a request is still being written.
enum class End {
  kReset,
  // With bytes of the request unread, which the kernel turns into a reset.
  kClose,
  // Its side first, the rest with a reset.
  kCloseSideThenReset,
};

class InputEndTest : public testing::Test {
 protected:
  Awaitable<void> Serve(std::string answer, base::Duration wait, End end) {
    ErrorCode ec;
    Tcp::socket peer = co_await acceptor_.async_accept(Into(ec));
    std::array<char, 256> buf{};
    co_await peer.async_read_some(asio::buffer(buf), Into(ec));
    co_await asio::async_write(peer, asio::buffer(answer), Into(ec));
    co_await SleepFor(loop_, wait);
    switch (end) {
      case End::kReset:
        ResetSocket(peer);
        break;
      case End::kClose:
        CloseSocket(peer);
        break;
      case End::kCloseSideThenReset:
        peer.shutdown(Tcp::socket::shutdown_send, ec);
        ResetSocket(peer);
    }
  }

  // Uploads to a target that answers early and then ends the connection.
  ExchangeState Upload(const std::string& answer,
                       base::Duration wait,
                       End end) {
    asio::co_spawn(loop_, Serve(answer, wait, end), asio::detached);
    std::optional<ExchangeState> state;
    body_.clear();
    asio::co_spawn(
        loop_,
        [&]() -> Awaitable<void> {
          Exchange exchange(pool_);
          OutgoingRequest request(http::verb::post, "/", 11,
                                  std::string(kBodyBytes, 'x'));
          request.content_length(kBodyBytes);
          co_await exchange.Start(acceptor_.local_endpoint(),
                                  std::move(request), {}, ChannelReuse::kNone);
          body_ = co_await exchange.ReadRest(kBodyBytes);
          state = exchange.state();
        },
        asio::detached);
    while (!state) {
      loop_.restart();
      loop_.run_one_for(std::chrono::seconds(30));
    }
    return *state;
  }

  asio::io_context loop_;
  ChannelPool pool_{loop_, base::BootClock::now};
  Tcp::acceptor acceptor_{loop_,
                          Tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::string body_;
};

TEST_F(InputEndTest, AResetDuringTheUploadIsNoEnd) {
  for (const char* head : {kUnframed, kUnframedStream}) {
    for (const std::string part : {"part", "id: 1\ndata: x\n\n", ""}) {
      for (const int ms : {0, 1, 20, 50}) {
        EXPECT_EQ(Upload(head + part, milliseconds(ms), End::kReset),
                  ExchangeState::kBroken)
            << part << " after " << ms << " ms";
      }
    }
  }
}

TEST_F(InputEndTest, ACloseWithTheUploadUnreadIsNoEnd) {
  for (const int ms : {0, 1, 20, 50}) {
    EXPECT_EQ(
        Upload(std::string(kUnframed) + "part", milliseconds(ms), End::kClose),
        ExchangeState::kBroken)
        << ms;
  }
}

TEST_F(InputEndTest, AnAnswerThatEndedBeforeTheResetIsWhole) {
  for (const int ms : {0, 1, 20, 50}) {
    EXPECT_EQ(Upload(std::string(kUnframed) + "whole", milliseconds(ms),
                     End::kCloseSideThenReset),
              ExchangeState::kWhole)
        << ms;
    EXPECT_EQ(body_, "whole");
  }
}

TEST_F(InputEndTest, AStatedLengthIsWholeWhateverFollows) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  EXPECT_EQ(Upload(answer, milliseconds(20), End::kReset),
            ExchangeState::kWhole);
  EXPECT_EQ(body_, "whole");
}

// What the class relies on: which error a write gets.
TEST_F(InputEndTest, TheErrorOfAWriteTellsWhatCameFirst) {
  for (const bool closes_first : {true, false}) {
    Tcp::socket socket(loop_);
    socket.connect(acceptor_.local_endpoint());
    Tcp::socket peer = acceptor_.accept();
    ErrorCode ec;
    if (closes_first) {
      peer.shutdown(Tcp::socket::shutdown_send, ec);
      EXPECT_FALSE(ec);
      EXPECT_TRUE(HasPeerClosedItsSide(socket));
    }
    ResetSocket(peer);
    EXPECT_FALSE(HasPeerClosedItsSide(socket));
    asio::write(socket, asio::buffer("x", 1), ec);
    EXPECT_EQ(ec, closes_first ? asio::error::broken_pipe
                               : asio::error::connection_reset);
    std::array<char, 1> buf{};
    socket.read_some(asio::buffer(buf), ec);
    EXPECT_EQ(ec, asio::error::eof);
  }
}

}  // namespace
}  // namespace lynxglade::connection::event
