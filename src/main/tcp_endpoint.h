// Converts an endpoint of the settings for the event loop's sockets.
#ifndef LYNXGLADE_MAIN_TCP_ENDPOINT_H_
#define LYNXGLADE_MAIN_TCP_ENDPOINT_H_

#include <cstdint>

#include "connection/event/http_types.h"
#include "process/endpoint.h"

namespace lynxglade {

// The address of `endpoint` must be valid, as those of the settings are.
inline connection::event::Tcp::endpoint EndpointOf(
    const process::Endpoint& endpoint) {
  return {connection::event::asio::ip::make_address(endpoint.address),
          static_cast<std::uint16_t>(endpoint.port)};
}

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_TCP_ENDPOINT_H_
