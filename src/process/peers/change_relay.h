// Client and server of the query for store changes between instances: an HTTP
// long poll with a CBOR response.
#ifndef LYNXGLADE_PROCESS_PEERS_CHANGE_RELAY_H_
#define LYNXGLADE_PROCESS_PEERS_CHANGE_RELAY_H_

#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "process/peers/watch_sharing.h"

namespace lynxglade::process::peers {

// Queries relays over connections of the pool. `loop` and `channels` must
// outlive the result.
QueryRelay MakeQueryRelay(connection::event::asio::io_context& loop,
                          connection::event::ChannelPool& channels);

// Serves queries of other instances. Read-only: it exposes only what any
// instance may read in the store.
class ChangeRelay {
 public:
  ChangeRelay(connection::event::asio::io_context& loop,
              connection::event::Tcp::endpoint endpoint,
              WatchSharing& watches,
              base::Clock clock,
              base::Metrics& metrics);
  ChangeRelay(const ChangeRelay&) = delete;
  ChangeRelay& operator=(const ChangeRelay&) = delete;

  // Returns false and sets `*reason` if the server cannot listen.
  bool Start(std::string* reason) { return server_.Start(reason); }
  std::uint16_t port() const { return server_.port(); }

 private:
  connection::event::Awaitable<void> Serve(
      std::shared_ptr<connection::event::CallerRequest> request,
      connection::event::CallerReply& reply);

  WatchSharing& watches_;
  connection::event::CallerServer server_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_CHANGE_RELAY_H_
