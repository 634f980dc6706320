#include "rig/caller_channel.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "connection/event/socket_probe.h"

namespace lynxglade::rig {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::Tcp;
namespace asio = connection::event::asio;

// Less than the idle timeout of an instance.
constexpr base::Duration kMaxIdle = std::chrono::milliseconds(700);

}  // namespace

Awaitable<bool> CallerChannel::Connect() {
  ErrorCode ec;
  co_await socket_.async_connect(endpoint_, Into(ec));
  if (!ec) {
    socket_.set_option(Tcp::no_delay(true), ec);
  }
  co_return !ec && !left_;
}

Awaitable<bool> CallerChannel::Send(std::string bytes) {
  ErrorCode ec;
  co_await asio::async_write(socket_, asio::buffer(bytes), Into(ec));
  co_return !ec;
}

Awaitable<void> CallerChannel::ReadSome(tests::AnswerText& answer) {
  std::array<char, 8192> buf{};
  ErrorCode ec;
  const std::size_t n =
      co_await socket_.async_read_some(asio::buffer(buf), Into(ec));
  answer.Feed({buf.data(), n});
  if (ec) {
    answer.EndConnection(/*reset=*/ec != asio::error::eof);
  }
}

void CallerChannel::Leave() noexcept {
  left_ = true;
  connection::event::ResetSocket(socket_);
}

bool CallerChannel::idle() {
  return socket_.is_open() && !connection::event::HasInput(socket_);
}

LeaveAfter::LeaveAfter(asio::io_context& loop,
                       CallerChannel& channel,
                       base::Duration wait)
    : timer_(loop, std::max(wait, base::Duration::zero())) {
  // The handler may already be queued when the timer is destroyed.
  timer_.async_wait([&channel, armed = armed_](const ErrorCode& ec) {
    if (!ec && *armed) {
      channel.Leave();
    }
  });
}

LeaveAfter::~LeaveAfter() {
  *armed_ = false;
}

std::unique_ptr<CallerChannel> KeptChannels::Take(
    const Tcp::endpoint& endpoint) {
  while (true) {
    const auto it = kept_.find(endpoint);
    if (it == kept_.end()) {
      return nullptr;
    }
    Kept kept = std::move(it->second);
    kept_.erase(it);
    if (clock_() - kept.since < kMaxIdle && kept.channel->idle()) {
      return std::move(kept.channel);
    }
  }
}

void KeptChannels::Keep(std::unique_ptr<CallerChannel> channel) {
  const Tcp::endpoint endpoint = channel->endpoint();
  kept_.emplace(endpoint, Kept{std::move(channel), clock_()});
}

}  // namespace lynxglade::rig
