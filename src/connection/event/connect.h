// Opens one TCP connection within a time.
#ifndef LYNXGLADE_CONNECTION_EVENT_CONNECT_H_
#define LYNXGLADE_CONNECTION_EVENT_CONNECT_H_

#include <memory>
#include <string_view>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// How an attempt to connect ended.
enum class ConnectEnd {
  kConnected,
  // Refused or reset: the address is reached, and nothing listens there.
  kRefused,
  // No answer in time, no route, or the attempt was given up.
  kNoAnswer,
};
std::string_view ToString(ConnectEnd end) noexcept;

// Connects `socket`, which is closed unless the result is kConnected. Closing
// the socket meanwhile ends the attempt.
Awaitable<ConnectEnd> Connect(asio::io_context& loop,
                              std::shared_ptr<Tcp::socket> socket,
                              Tcp::endpoint endpoint,
                              base::Duration timeout);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CONNECT_H_
