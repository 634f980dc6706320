#include "rig/link_proxy.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "connection/event/sleep.h"

namespace lynxglade::rig {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::SleepFor;
using connection::event::Tcp;
namespace asio = connection::event::asio;

constexpr std::size_t kPieceBytes = 8192;
constexpr base::Duration kStallPoll = std::chrono::milliseconds(5);

void Reset(Tcp::socket& socket) {
  ErrorCode ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

}  // namespace

struct LinkProxy::Link {
  explicit Link(asio::io_context& loop) : near(loop), far(loop) {}

  void ResetBoth() {
    Reset(near);
    Reset(far);
  }

  Tcp::socket near;
  Tcp::socket far;
};

LinkProxy::LinkProxy(asio::io_context& loop,
                     std::uint16_t port,
                     std::uint16_t target_port)
    : loop_(loop),
      acceptor_(loop, {asio::ip::address_v4::loopback(), port}),
      target_(asio::ip::address_v4::loopback(), target_port) {}

LinkProxy::~LinkProxy() = default;

Awaitable<void> LinkProxy::Run() {
  while (true) {
    auto link = std::make_shared<Link>(loop_);
    ErrorCode ec;
    co_await acceptor_.async_accept(link->near, Into(ec));
    if (!ec) {
      std::erase_if(links_, [](const auto& it) { return it.expired(); });
      links_.push_back(link);
      asio::co_spawn(loop_, Serve(std::move(link)), asio::detached);
    }
  }
}

void LinkProxy::ResetAll() {
  for (const auto& it : links_) {
    if (const auto link = it.lock()) {
      link->ResetBoth();
    }
  }
}

Awaitable<void> LinkProxy::Serve(std::shared_ptr<Link> link) {
  ErrorCode ec;
  co_await link->far.async_connect(target_, Into(ec));
  if (ec) {
    Reset(link->near);
    co_return;
  }
  const Tcp::no_delay no_delay(true);
  link->near.set_option(no_delay, ec);
  link->far.set_option(no_delay, ec);
  asio::co_spawn(loop_, Copy(link, link->far, link->near), asio::detached);
  co_await Copy(link, link->near, link->far);
}

Awaitable<void> LinkProxy::Copy(std::shared_ptr<Link> link,
                                Tcp::socket& from,
                                Tcp::socket& to) {
  std::array<char, kPieceBytes> buf{};
  while (true) {
    ErrorCode ec;
    const std::size_t n =
        co_await from.async_read_some(asio::buffer(buf), Into(ec));
    if (ec == asio::error::eof) {
      to.shutdown(Tcp::socket::shutdown_send, ec);
      co_return;
    }
    if (ec) {
      link->ResetBoth();
      co_return;
    }
    if (delay_ > base::Duration::zero()) {
      co_await SleepFor(loop_, delay_);
    }
    while (stalled_) {
      co_await SleepFor(loop_, kStallPoll);
    }
    co_await asio::async_write(to, asio::buffer(buf.data(), n), Into(ec));
    if (ec) {
      link->ResetBoth();
      co_return;
    }
  }
}

}  // namespace lynxglade::rig
