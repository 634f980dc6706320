// Guards against bytes that are no answer and come without end: what a peer
// sends until the connection is closed must bound neither memory nor time.
#include <functional>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "connection/event/call.h"
#include "connection/event/exchange.h"

namespace lynxglade::connection::event {
namespace {

// What a peer sends: once, and then again and again.
struct Endless {
  const char* name;
  std::string start;
  std::string rest;
};

const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class EndlessAnswerTest : public testing::TestWithParam<Endless> {
 protected:
  // Far more than any reader needs to see that this is no answer.
  static constexpr std::size_t kMaxSent = std::size_t{4} * 1024 * 1024;

  Awaitable<void> SendForever() {
    ErrorCode ec;
    Tcp::socket peer = co_await acceptor_.async_accept(Into(ec));
    sent_ += co_await asio::async_write(peer, asio::buffer(GetParam().start),
                                        Into(ec));
    std::string piece;
    while (piece.size() < 4096) {
      piece += GetParam().rest;
    }
    while (!ec && sent_ < kMaxSent) {
      sent_ += co_await asio::async_write(peer, asio::buffer(piece), Into(ec));
    }
    closed_ = true;
  }
  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      loop_.restart();
      ASSERT_GT(loop_.run_one_for(std::chrono::seconds(30)), 0U);
    }
  }

  asio::io_context loop_;
  ChannelPool pool_{loop_, base::BootClock::now};
  Tcp::acceptor acceptor_{loop_,
                          Tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::size_t sent_ = 0;
  bool closed_ = false;
};

TEST_P(EndlessAnswerTest, IsNoAnswer) {
  asio::co_spawn(loop_, SendForever(), asio::detached);
  std::optional<bool> answered;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        OutgoingRequest request(http::verb::get, "/", 11);
        ExchangeState end{};
        const auto answer = co_await Call(
            loop_, pool_, acceptor_.local_endpoint(), std::move(request),
            {.timeout = std::chrono::seconds(20), .max_answer_bytes = 65536},
            &end);
        answered = answer.has_value();
      },
      asio::detached);
  RunUntil([&] { return answered && closed_; });
  EXPECT_FALSE(*answered);
  EXPECT_LT(sent_, kMaxSent);
}

INSTANTIATE_TEST_SUITE_P(
    Readers,
    EndlessAnswerTest,
    testing::Values(
        Endless{"StatusLine", "HTTP/1.1 200 ", "OK"},
        Endless{"NoHttp", "", "\x01\x02garbage"},
        Endless{"OneHeaderLine", "HTTP/1.1 200 OK\r\nA: ", "xyz"},
        Endless{"HeaderLines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        Endless{"InformationalAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        Endless{"ChunkSize", kChunked, "0"},
        Endless{"ChunkExtension", kChunked + "5;a=", "x"},
        Endless{"ChunkExtensions", kChunked + "5", ";a=b"},
        Endless{"Trailers", kChunked + "0\r\n", "A: b\r\n"},
        Endless{"OneTrailer", kChunked + "0\r\nA: ", "x"},
        Endless{"ChunkedBody", kChunked, "5\r\nabcde\r\n"},
        Endless{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "abc"}),
    [](const auto& it) { return std::string(it.param.name); });

}  // namespace
}  // namespace lynxglade::connection::event
