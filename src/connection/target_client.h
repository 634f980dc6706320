// Sends attempts to model engines and plain services over HTTP.
//
// Each attempt ends with an outcome: "not run" if the connection failed, if the
// body was never written to the socket, or if the target rejected the request
// with outcome "not_run" in its answer; "ran" once an event of the attempt's
// stream or a plain answer arrived; otherwise "unknown". A request is never
// sent twice, and a non-idempotent request gets a new connection, because a
// reused one may have been closed by the target.
#ifndef LYNXGLADE_CONNECTION_TARGET_CLIENT_H_
#define LYNXGLADE_CONNECTION_TARGET_CLIENT_H_

#include <cstddef>
#include <memory>

#include "base/time.h"
#include "connection/http_limits.h"
#include "request/attempt.h"

namespace lynxglade::connection {

struct TargetClientOptions {
  base::Duration connect_timeout = std::chrono::seconds(1);
  // Longest wait for the socket to accept more of the request.
  base::Duration write_timeout = std::chrono::seconds(5);
  // Idle connections are closed after this. Shorter than the targets' own idle
  // timeout, so that reused connections are rarely closed by the target.
  base::Duration idle_timeout = std::chrono::seconds(4);
  std::size_t max_idle_per_target = 64;
  // How often attempts are checked for timeouts and cancellation.
  base::Duration poll_period = std::chrono::milliseconds(20);
  // Largest answer body of a plain service, in bytes.
  std::size_t max_plain_body = kMaxCallerBodyBytes;
  // Queue of unsent cancels; further ones are dropped.
  std::size_t max_queued_cancels = 1024;
};

// Thread-safe. Owns two threads: one ends attempts on idle timeout, deadline or
// cancellation by the caller, one sends cancels. The destructor joins them; no
// Run() may be in progress then. The constructor makes the process ignore
// SIGPIPE, since a target may close a connection during a write.
class TargetClient {
 public:
  TargetClient(base::Clock clock, TargetClientOptions options);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  // Blocks until the attempt ends, for at most about spec.timeout.
  request::AttemptReport Run(const request::AttemptSpec& spec,
                             const request::TokenSink& sink);

  // Queues POST /v1/cancel to the attempt's engine and returns at once. Does
  // nothing for plain services, which have no cancel call.
  void Cancel(const request::AttemptSpec& spec);

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CLIENT_H_
