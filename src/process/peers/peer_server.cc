#include "process/peers/peer_server.h"

#include <utility>

#include "connection/event/tunnel.h"
#include "process/peers/change_relay.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::CallerServerLimits;

// Connections from other instances: far more than a zone has instances, and one
// for each tunnel.
constexpr std::size_t kMaxConnections = 1024;

}  // namespace

PeerServer::PeerServer(connection::event::asio::io_context& loop,
                       connection::event::Tcp::endpoint endpoint,
                       WatchSharing& watches,
                       TargetTunnels* tunnels,
                       base::Clock clock,
                       base::Metrics& metrics)
    : server_(
          loop,
          {.endpoint = std::move(endpoint), .max_connections = kMaxConnections},
          [] { return CallerServerLimits(); },
          [&watches, tunnels](std::shared_ptr<CallerRequest> request,
                              CallerReply& reply) {
            const bool tunnel =
                tunnels && connection::event::IsTunnelRequest(request->head);
            return tunnel ? tunnels->Serve(std::move(request), reply)
                          : ServeQuery(watches, std::move(request), reply);
          },
          std::move(clock),
          metrics) {}

}  // namespace lynxglade::process::peers
