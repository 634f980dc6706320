#include "connection/event/channel_pool.h"

#include <algorithm>

#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {

ChannelPool::ChannelPool(asio::io_context& loop,
                         base::Clock clock,
                         ChannelPoolOptions options)
    : loop_(loop), clock_(std::move(clock)), options_(options) {}

std::shared_ptr<Channel> ChannelPool::Take(const Tcp::endpoint& endpoint,
                                           bool recent_only) {
  const base::Time now = clock_();
  auto& kept = idle_[endpoint];
  while (!kept.empty()) {
    std::shared_ptr<Channel> channel = std::move(kept.back());
    kept.pop_back();
    base::Duration limit = IdleLimit(*channel);
    if (recent_only) {
      limit = std::min(limit, options_.max_recent_idle);
    }
    if (now - channel->idle_since < limit && !HasInput(channel->socket)) {
      return channel;
    }
  }
  auto channel = std::make_shared<Channel>(loop_);
  channel->endpoint = endpoint;
  return channel;
}

Awaitable<bool> ChannelPool::Open(std::shared_ptr<Channel> channel) {
  asio::steady_timer timer(loop_, options_.connect_timeout);
  timer.async_wait([channel](const ErrorCode& ec) {
    if (!ec) {
      CloseSocket(channel->socket);
    }
  });
  ++opened_;
  ErrorCode ec;
  co_await channel->socket.async_connect(channel->endpoint, Into(ec));
  timer.cancel();
  if (ec || !channel->socket.is_open()) {
    co_return false;
  }
  TuneSocket(channel->socket, options_.user_timeout);
  co_return true;
}

void ChannelPool::Keep(std::shared_ptr<Channel> channel) {
  auto& kept = idle_[channel->endpoint];
  if (kept.size() >= options_.max_idle_per_endpoint) {
    return;
  }
  channel->idle_since = clock_();
  ++channel->answered;
  kept.push_back(std::move(channel));
}

void ChannelPool::CloseIdle() {
  const base::Time now = clock_();
  for (auto& [endpoint, kept] : idle_) {
    std::erase_if(kept, [&](const std::shared_ptr<Channel>& channel) {
      return now - channel->idle_since >= IdleLimit(*channel) ||
             HasInput(channel->socket);
    });
  }
  std::erase_if(idle_, [](const auto& row) { return row.second.empty(); });
}

void ChannelPool::CloseIdleTo(const Tcp::endpoint& endpoint) {
  idle_.erase(endpoint);
}

base::Duration ChannelPool::IdleLimit(const Channel& channel) const noexcept {
  return channel.idle_limit ? *channel.idle_limit - options_.idle_margin
                            : options_.max_idle;
}

}  // namespace lynxglade::connection::event
