// Client and server of the query for store changes between instances: an HTTP
// long poll with a CBOR response.
#ifndef LYNXGLADE_PROCESS_PEERS_CHANGE_RELAY_H_
#define LYNXGLADE_PROCESS_PEERS_CHANGE_RELAY_H_

#include <memory>

#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "process/peers/watch_sharing.h"

namespace lynxglade::process::peers {

// Queries relays over connections of the pool. `loop` and `channels` must
// outlive the result.
QueryRelay MakeQueryRelay(connection::event::asio::io_context& loop,
                          connection::event::ChannelPool& channels);

// Serves a query of another instance. Read-only: it exposes only what any
// instance may read in the store.
connection::event::Awaitable<void> ServeQuery(
    WatchSharing& watches,
    std::shared_ptr<connection::event::CallerRequest> request,
    connection::event::CallerReply& reply);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_CHANGE_RELAY_H_
