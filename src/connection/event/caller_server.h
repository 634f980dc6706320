// Takes callers' connections and reads their requests, strictly.
//
// A request that could be read in two ways (both lengths, an unknown transfer
// coding, a torn head) is refused and its connection closed, so that nothing
// can be smuggled to a target. Each connection serves one request at a time;
// while a request is served, the connection is watched for the caller's close.
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

// A request as it was read.
struct CallerRequest {
  RequestHead head;
  std::string body;
  // The caller means to send more on the connection.
  bool keep_alive = false;
  // The caller's IP number.
  std::string caller;
  // When the first byte of the head was there.
  base::Time arrived{};
};

// What a caller may send and how long it may take; asked for each request.
struct CallerBounds {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(3);
  // Between requests, and between the pieces of a body.
  base::Duration idle_timeout = std::chrono::seconds(15);
};

// Answers one request; returns when the answer is sent or broken off.
using CallerHandler =
    std::function<Awaitable<void>(std::shared_ptr<CallerRequest>,
                                  CallerReply&)>;

struct CallerServerOptions {
  Tcp::endpoint endpoint;
  int backlog = 1024;
  // Connections beyond this are closed at once: a descriptor is needed for
  // the target of each, too.
  std::size_t max_connections = 1500;
  // Bodies that are being read, of all connections together.
  std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
};

// Not thread-safe: lives on the event loop.
class CallerServer {
 public:
  CallerServer(asio::io_context& loop,
               CallerServerOptions options,
               std::function<CallerBounds()> bounds,
               CallerHandler handler,
               base::Clock clock,
               base::Metrics& metrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Binds and takes connections. False: the address cannot be had; `*reason`
  // says why.
  bool Start(std::string* reason);
  // Answers say from now on that the connection ends with them.
  void BeginDrain() noexcept;
  // Closes what is idle; connections with a request go on.
  void CloseIdle();

  std::size_t connections() const noexcept;
  // Requests that have been read and not answered.
  std::size_t busy() const noexcept;
  std::uint16_t port() const;

 private:
  class Session;
  struct Shared;

  Awaitable<void> Accept();

  std::shared_ptr<Shared> shared_;
  Tcp::acceptor acceptor_;
  const CallerServerOptions options_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALLER_SERVER_H_
