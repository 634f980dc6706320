// Pool of outgoing connections that are kept open for reuse.
//
// A connection is reused only if the peer has neither closed it nor sent
// anything since the last answer, and if the peer's idle timeout is not about
// to expire: if a request races with a close, it is unknown whether it ran.
#ifndef LYNXGLADE_CONNECTION_EVENT_CHANNEL_POOL_H_
#define LYNXGLADE_CONNECTION_EVENT_CHANNEL_POOL_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "base/ids.h"
#include "base/time.h"
#include "connection/event/connect.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

struct ChannelPoolOptions {
  // Less than the one second after which a lost SYN is retransmitted: another
  // target answers sooner.
  base::Duration connect_timeout = std::chrono::milliseconds(300);
  // Longest idle time of a connection whose peer announces no idle timeout.
  base::Duration max_idle = std::chrono::seconds(4);
  // Subtracted from the idle timeout that the peer announces in whole seconds.
  base::Duration idle_margin = std::chrono::milliseconds(1000);
  // Longest idle time for ChannelReuse::kRecent.
  base::Duration max_recent_idle = std::chrono::milliseconds(700);
  // TCP_USER_TIMEOUT: the connection ends if data or probes stay unacknowledged
  // for this long.
  base::Duration user_timeout = std::chrono::milliseconds(2000);
  std::size_t max_idle_per_endpoint = 8;
};

// Which idle connection may carry a request.
enum class ChannelReuse {
  kAny,
  // One idle for less than max_recent_idle: a request that is not safe to retry
  // must not race with a close by the peer.
  kRecent,
  // None. For a request that is sent to an endpoint again: an answer names the
  // request, not the sending, so on a connection that has carried it before, a
  // second answer to that sending looks like the answer to this one.
  kNone,
};

struct Channel {
  explicit Channel(asio::io_context& loop) : socket(loop), opening(loop) {}

  // Resets the connection, or ends its opening.
  void Abandon() noexcept;

  // Bytes read ahead at most: more than a head may have, and than what a
  // chunk's size line or trailers ever need.
  static constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;

  Tcp::socket socket;
  // Waited on while the connection is opened; cancelled when it is abandoned.
  asio::steady_timer opening;
  bool abandoned = false;
  // The instance through which the connection leads; empty if it is direct.
  base::InstanceId via;
  boost::beast::flat_buffer buffer{kMaxReadAhead};
  Tcp::endpoint endpoint;
  // Number of requests answered on this connection.
  int answered = 0;
  base::Time idle_since{};
  // Idle timeout announced by the peer, if any.
  std::optional<base::Duration> idle_limit;
};

// What else than a direct connection leads to an endpoint. Hooks may be empty.
struct ChannelPoolHooks {
  // Opens the channel's socket in place of a direct connection.
  std::function<Awaitable<ConnectEnd>(std::shared_ptr<Channel>)> open;
  // Whether a connection that is idle, or whose peer does not acknowledge a
  // request, may still work.
  std::function<bool(const Channel&)> is_trusted;
  // The peer has not acknowledged a request for a while.
  std::function<void(const Channel&)> on_unacknowledged;
};

// Not thread-safe: runs on the event loop. Must outlive its channels.
class ChannelPool {
 public:
  ChannelPool(asio::io_context& loop,
              base::Clock clock,
              ChannelPoolOptions options = {},
              ChannelPoolHooks hooks = {});
  ChannelPool(const ChannelPool&) = delete;
  ChannelPool& operator=(const ChannelPool&) = delete;

  // Returns an idle connection that looks usable and may be reused, or a new
  // channel that must be opened with Open().
  std::shared_ptr<Channel> Take(const Tcp::endpoint& endpoint,
                                ChannelReuse reuse);
  // Connects, by the hook if there is one. Abandoning the channel cancels the
  // attempt.
  Awaitable<ConnectEnd> Open(std::shared_ptr<Channel> channel);
  // See ChannelPoolHooks.
  bool IsTrusted(const Channel& channel) const;
  void OnUnacknowledged(const Channel& channel) const;
  // Returns the connection to the pool. Call only after the answer was read
  // completely, and if the peer did not announce a close.
  void Keep(std::shared_ptr<Channel> channel);
  // Closes connections that have been idle for too long, were closed by the
  // peer or may not be reused. Call about every second.
  void CloseIdle();
  // Closes the idle connections to an endpoint that stopped answering, since
  // they may be broken, too.
  void CloseIdleTo(const Tcp::endpoint& endpoint);

  // Connections opened since the start.
  std::uint64_t opened() const noexcept { return opened_; }

 private:
  base::Duration IdleLimit(const Channel& channel) const noexcept;

  asio::io_context& loop_;
  const base::Clock clock_;
  const ChannelPoolOptions options_;
  const ChannelPoolHooks hooks_;
  std::uint64_t opened_ = 0;
  std::map<Tcp::endpoint, std::vector<std::shared_ptr<Channel>>> idle_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CHANNEL_POOL_H_
