// Network address of a target.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_ADDRESS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_ADDRESS_H_

#include <optional>
#include <string>

#include "connection/event/http_types.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

// Nothing if the entry's IP address is malformed.
inline std::optional<connection::event::Tcp::endpoint> EndpointOf(
    const Engine& engine) {
  connection::event::ErrorCode ec;
  const auto address =
      connection::event::asio::ip::make_address(engine.entry.ip, ec);
  if (ec) {
    return std::nullopt;
  }
  return connection::event::Tcp::endpoint(address, engine.entry.port);
}

// "ip:port".
inline std::string AddressOf(const Engine& engine) {
  return engine.entry.ip + ':' + std::to_string(engine.entry.port);
}

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_ADDRESS_H_
