// The listener for other instances: queries for store changes, and tunnels to
// targets.
#ifndef LYNXGLADE_PROCESS_PEERS_PEER_SERVER_H_
#define LYNXGLADE_PROCESS_PEERS_PEER_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/caller_server.h"
#include "process/peers/target_tunnels.h"
#include "process/peers/watch_sharing.h"

namespace lynxglade::process::peers {

// Not thread-safe: runs on the event loop.
class PeerServer {
 public:
  // `tunnels` may be null: none are served.
  PeerServer(connection::event::asio::io_context& loop,
             connection::event::Tcp::endpoint endpoint,
             WatchSharing& watches,
             TargetTunnels* tunnels,
             base::Clock clock,
             base::Metrics& metrics);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Returns false and sets `*reason` if the server cannot listen.
  bool Start(std::string* reason) { return server_.Start(reason); }
  std::uint16_t port() const { return server_.port(); }

 private:
  connection::event::CallerServer server_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_PEER_SERVER_H_
