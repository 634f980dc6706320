// Both ends of asking another instance what changed in the store: HTTP with a
// CBOR body, held until there is a change.
#ifndef LYNXGLADE_PROCESS_CHANGE_RELAY_H_
#define LYNXGLADE_PROCESS_CHANGE_RELAY_H_

#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "process/watch_sharing.h"

namespace lynxglade::process {

// Asks relays over the pool's connections.
QueryRelay MakeQueryRelay(connection::event::asio::io_context& loop,
                          connection::event::ChannelPool& channels);

// Answers the instances that ask this one. It tells what any instance may read
// in the store, and changes nothing.
class ChangeRelay {
 public:
  ChangeRelay(connection::event::asio::io_context& loop,
              connection::event::Tcp::endpoint endpoint,
              WatchSharing& watches,
              base::Clock clock,
              base::Metrics& metrics);
  ChangeRelay(const ChangeRelay&) = delete;
  ChangeRelay& operator=(const ChangeRelay&) = delete;

  // False: the address cannot be had; `*reason` says why.
  bool Start(std::string* reason) { return server_.Start(reason); }
  std::uint16_t port() const { return server_.port(); }

 private:
  connection::event::Awaitable<void> Serve(
      std::shared_ptr<connection::event::CallerRequest> request,
      connection::event::CallerReply& reply);

  WatchSharing& watches_;
  connection::event::CallerServer server_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CHANGE_RELAY_H_
