// HTTP server for callers on the event loop.
//
// Rejects requests with ambiguous framing (Content-Length together with
// Transfer-Encoding, an unknown transfer coding) and closes the connection, to
// prevent request smuggling. Each connection serves one request at a time, and
// is watched for a close by the caller meanwhile.
#ifndef LYNXGLADE_CONNECTION_EVENT_CALLER_SERVER_H_
#define LYNXGLADE_CONNECTION_EVENT_CALLER_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/caller_reply.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

struct CallerRequest {
  RequestHead head;
  std::string body;
  // The caller may send further requests on the connection.
  bool keep_alive = false;
  // IP address of the caller.
  std::string caller;
  // When the first byte of the head became readable.
  base::Time arrived{};
};

// Size and time limits for callers; queried before each request.
struct CallerServerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(3);
  // Longest wait for the next request and between two reads of a body.
  base::Duration idle_timeout = std::chrono::seconds(15);
};

// Answers one request; completes when the answer is sent or aborted.
using CallerHandler =
    std::function<Awaitable<void>(std::shared_ptr<CallerRequest>,
                                  CallerReply&)>;

struct CallerServerOptions {
  Tcp::endpoint endpoint;
  int backlog = 1024;
  // Further connections are closed at once. Each connection may need a second
  // descriptor, for its target.
  std::size_t max_connections = 1500;
  // Limit on incomplete request bodies, summed over all connections.
  std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
  // While it returns true, new connections are closed before anything is read
  // from them, so that their callers turn to another instance. May be empty.
  std::function<bool()> is_overloaded = {};
};

// Not thread-safe: runs on the event loop.
class CallerServer {
 public:
  CallerServer(asio::io_context& loop,
               CallerServerOptions options,
               std::function<CallerServerLimits()> bounds,
               CallerHandler handler,
               base::Clock clock,
               base::Metrics& metrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Binds and starts to accept. Returns false and sets `*reason` if the address
  // cannot be bound.
  bool Start(std::string* reason);
  // From now on, connections close after the answer to their current request,
  // and the answer says so.
  void BeginDrain() noexcept;
  // Closes idle connections. Connections with a request are not affected.
  void CloseIdle();
  // Closes idle connections, and rejects requests that are still being read.
  // Requests in the handler are not affected.
  void EndReads();
  // Accepts no further connections.
  void StopAccepting() noexcept;

  std::size_t connections() const noexcept;
  // Requests in the handler.
  std::size_t busy() const noexcept;
  std::uint16_t port() const;

 private:
  class Session;
  struct Shared;

  Awaitable<void> Accept();
  // Serves the connection, unless there are too many or this instance is
  // overloaded.
  void Begin(Tcp::socket socket);

  std::shared_ptr<Shared> shared_;
  Tcp::acceptor acceptor_;
  const CallerServerOptions options_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALLER_SERVER_H_
