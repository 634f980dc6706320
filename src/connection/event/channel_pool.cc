#include "connection/event/channel_pool.h"

#include <algorithm>

#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {

void Channel::Abandon() noexcept {
  abandoned = true;
  ResetSocket(socket);
  opening.cancel();
}

ChannelPool::ChannelPool(asio::io_context& loop,
                         base::Clock clock,
                         ChannelPoolOptions options,
                         ChannelPoolHooks hooks)
    : loop_(loop),
      clock_(std::move(clock)),
      options_(options),
      hooks_(std::move(hooks)) {}

std::shared_ptr<Channel> ChannelPool::Take(const Tcp::endpoint& endpoint,
                                           ChannelReuse reuse) {
  const base::Time now = clock_();
  auto& kept = idle_[endpoint];
  while (reuse != ChannelReuse::kNone && !kept.empty()) {
    std::shared_ptr<Channel> channel = std::move(kept.back());
    kept.pop_back();
    base::Duration limit = IdleLimit(*channel);
    if (reuse == ChannelReuse::kRecent) {
      limit = std::min(limit, options_.max_recent_idle);
    }
    if (now - channel->idle_since < limit && !HasInput(channel->socket) &&
        IsTrusted(*channel)) {
      return channel;
    }
  }
  auto channel = std::make_shared<Channel>(loop_);
  channel->endpoint = endpoint;
  return channel;
}

Awaitable<ConnectEnd> ChannelPool::Open(std::shared_ptr<Channel> channel) {
  ++opened_;
  ConnectEnd end = ConnectEnd::kNoAnswer;
  if (hooks_.open) {
    end = co_await hooks_.open(channel);
  } else {
    const std::shared_ptr<Tcp::socket> socket(channel, &channel->socket);
    end = co_await Connect(loop_, socket, channel->endpoint,
                           options_.connect_timeout);
  }
  if (end == ConnectEnd::kConnected) {
    TuneSocket(channel->socket, options_.user_timeout);
  }
  co_return end;
}

bool ChannelPool::IsTrusted(const Channel& channel) const {
  return !hooks_.is_trusted || hooks_.is_trusted(channel);
}

void ChannelPool::OnUnacknowledged(const Channel& channel) const {
  if (hooks_.on_unacknowledged) {
    hooks_.on_unacknowledged(channel);
  }
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
             HasInput(channel->socket) || !IsTrusted(*channel);
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
