#include "connection/event/input_end.h"

#include <boost/asio/error.hpp>

#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {

InputEnd::InputEnd(const Tcp::socket::executor_type& executor)
    : write_ended_(executor, asio::steady_timer::time_point::max()) {}

void InputEnd::OnWriteBegun() {
  writes_ = true;
}

void InputEnd::OnWriteEnded(const ErrorCode& ec) {
  writes_ = false;
  if (ec) {
    error_ = ec;
  }
  write_ended_.cancel();
}

// A connection that was reset has ended in both directions, so that a write
// which is under way fails at once.
Awaitable<bool> InputEnd::IsOrderly(Tcp::socket& socket) {
  while (writes_ && !HasPeerClosedItsSide(socket)) {
    ErrorCode ec;
    co_await write_ended_.async_wait(Into(ec));
  }
  co_return !error_ || error_ == asio::error::broken_pipe;
}

}  // namespace lynxglade::connection::event
