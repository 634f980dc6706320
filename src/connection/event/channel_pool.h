// Outgoing connections, kept for further requests.
//
// A connection is handed out again only if the other end neither closed it nor
// sent anything since, and if it is young enough that the other end's idle
// timeout is not about to close it: a request that meets a close may or may
// not have run.
#ifndef LYNXGLADE_CONNECTION_EVENT_CHANNEL_POOL_H_
#define LYNXGLADE_CONNECTION_EVENT_CHANNEL_POOL_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

struct ChannelPoolOptions {
  // A SYN that is not answered in this time was dropped; its repeat comes
  // after a second, when another target would long have answered.
  base::Duration connect_timeout = std::chrono::milliseconds(300);
  // Idle time after which a connection is closed if the other end names none.
  base::Duration max_idle = std::chrono::seconds(4);
  // Taken off the idle timeout that the other end names (whole seconds).
  base::Duration idle_margin = std::chrono::milliseconds(1000);
  // For requests that must not meet a close.
  base::Duration max_idle_careful = std::chrono::milliseconds(700);
  // Data or probes unanswered for this long end the connection.
  base::Duration user_timeout = std::chrono::milliseconds(2000);
  std::size_t max_idle_per_endpoint = 8;
};

// One connection.
struct Channel {
  explicit Channel(asio::io_context& loop) : socket(loop) {}

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Tcp::endpoint endpoint;
  // Requests answered on it.
  int answered = 0;
  base::Time idle_since{};
  // Idle time the other end allows, if it named one.
  std::optional<base::Duration> idle_limit;
};

// Not thread-safe: lives on the event loop, and outlives its channels.
class ChannelPool {
 public:
  ChannelPool(asio::io_context& loop,
              base::Clock clock,
              ChannelPoolOptions options = {});
  ChannelPool(const ChannelPool&) = delete;
  ChannelPool& operator=(const ChannelPool&) = delete;

  // A kept connection that looks alive, or a closed one to open. `careful`
  // takes only those that were used a moment ago.
  std::shared_ptr<Channel> Take(const Tcp::endpoint& endpoint, bool careful);
  // Connects. Closing the channel's socket ends it early.
  Awaitable<bool> Open(std::shared_ptr<Channel> channel);
  // Keeps the connection for another request. Call when an answer has been
  // read whole and the other end did not announce a close.
  void Keep(std::shared_ptr<Channel> channel);
  // Closes the connections that have been idle for too long. Call every
  // second or so.
  void Sweep();
  // Closes the kept connections to an endpoint that does not answer: they may
  // be as dead as the one that showed it.
  void Forget(const Tcp::endpoint& endpoint);

  // Connections opened since the start.
  std::uint64_t opened() const noexcept { return opened_; }

 private:
  base::Duration IdleLimit(const Channel& channel) const noexcept;

  asio::io_context& loop_;
  const base::Clock clock_;
  const ChannelPoolOptions options_;
  std::uint64_t opened_ = 0;
  std::map<Tcp::endpoint, std::vector<std::shared_ptr<Channel>>> idle_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CHANNEL_POOL_H_
