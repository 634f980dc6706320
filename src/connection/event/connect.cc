#include "connection/event/connect.h"

#include <boost/asio/error.hpp>

#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {

std::string_view ToString(ConnectEnd end) noexcept {
  switch (end) {
    case ConnectEnd::kConnected:
      return "connected";
    case ConnectEnd::kRefused:
      return "refused";
    case ConnectEnd::kNoAnswer:
      break;
  }
  return "no_answer";
}

Awaitable<ConnectEnd> Connect(asio::io_context& loop,
                              std::shared_ptr<Tcp::socket> socket,
                              Tcp::endpoint endpoint,
                              base::Duration timeout) {
  asio::steady_timer timer(loop, timeout);
  timer.async_wait([socket](const ErrorCode& ec) {
    if (!ec) {
      CloseSocket(*socket);
    }
  });
  ErrorCode ec;
  co_await socket->async_connect(endpoint, Into(ec));
  timer.cancel();
  if (!ec && socket->is_open()) {
    co_return ConnectEnd::kConnected;
  }
  CloseSocket(*socket);
  co_return ec == asio::error::connection_refused ||
          ec == asio::error::connection_reset
      ? ConnectEnd::kRefused
      : ConnectEnd::kNoAnswer;
}

}  // namespace lynxglade::connection::event
