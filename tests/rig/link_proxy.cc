#include "rig/link_proxy.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <array>
#include <tuple>
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

// A process that is started later would keep the port open otherwise.
void CloseOnExec(Tcp::acceptor& acceptor) {
  ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
}

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
      endpoint_(asio::ip::address_v4::loopback(), port),
      acceptor_(loop),
      full_(loop),
      target_(asio::ip::address_v4::loopback(), target_port) {
  Listen();
}

LinkProxy::~LinkProxy() = default;

Awaitable<void> LinkProxy::Run() {
  while (true) {
    if (!acceptor_.is_open()) {
      co_await SleepFor(loop_, kStallPoll);
      continue;
    }
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

void LinkProxy::Listen() {
  acceptor_.open(Tcp::v4());
  CloseOnExec(acceptor_);
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint_);
  acceptor_.listen();
}

// The kernel drops the first packet of a connection if the queue of the
// listener is full.
void LinkProxy::OccupyPort() {
  constexpr int kFillers = 2;
  full_.open(Tcp::v4());
  CloseOnExec(full_);
  full_.set_option(Tcp::acceptor::reuse_address(true));
  full_.bind(endpoint_);
  full_.listen(0);
  for (int i = 0; i < kFillers; ++i) {
    Socket& filler = fillers_.emplace_back(loop_);
    filler.open(Tcp::v4());
    filler.non_blocking(true);
    // Asio's connect() would wait for the end of the attempt.
    std::ignore = ::connect(filler.native_handle(), endpoint_.data(),
                            static_cast<socklen_t>(endpoint_.size()));
  }
}

void LinkProxy::SetCut(LinkCut cut) {
  ErrorCode ec;
  full_.close(ec);
  fillers_.clear();
  cut_silent_ = cut == LinkCut::kSilent;
  if (cut == LinkCut::kWhole) {
    if (!acceptor_.is_open()) {
      Listen();
    }
    return;
  }
  acceptor_.close(ec);
  if (cut == LinkCut::kSilent || cut == LinkCut::kSilentToNew) {
    OccupyPort();
  }
  if (cut == LinkCut::kReset) {
    ResetAll();
  }
}

std::string_view ToString(LinkCut cut) noexcept {
  switch (cut) {
    case LinkCut::kWhole:
      return "whole";
    case LinkCut::kSilent:
      return "silent";
    case LinkCut::kReset:
      return "reset";
    case LinkCut::kSilentToNew:
      return "silent to new connections";
    case LinkCut::kRefusesNew:
      break;
  }
  return "refuses new connections";
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
    while (stalled_ || cut_silent_) {
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
