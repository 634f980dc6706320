// Carries out attempts at model engines and plain services over HTTP.
//
// Every attempt is classified by what can be proved of it: a request whose
// body was never handed to the kernel did not run; a target that refused with
// its own word did not run it; everything else is "ran" once a token of ours
// came and "unknown" until then. The library under it never sends a request
// twice (tested), and a non-idempotent request gets a fresh connection, so
// that no stale one can swallow it.
#ifndef LYNXGLADE_CONNECTION_TARGET_CLIENT_H_
#define LYNXGLADE_CONNECTION_TARGET_CLIENT_H_

#include <cstddef>
#include <memory>

#include "base/time.h"
#include "connection/http_limits.h"
#include "request/attempt.h"

namespace lynxglade::connection {

struct TargetClientOptions {
  // Time to connect; a target in the region answers in milliseconds.
  base::Duration connect_timeout = std::chrono::seconds(1);
  // Longest pause while the request is written.
  base::Duration write_timeout = std::chrono::seconds(5);
  // Unused connections are closed after this; shorter than the targets' own
  // idle time-out, so that a kept connection is rarely a closed one.
  base::Duration idle_timeout = std::chrono::seconds(4);
  std::size_t max_idle_per_target = 64;
  // How often silent attempts are looked at.
  base::Duration poll_period = std::chrono::milliseconds(20);
  // Largest answer of a plain service.
  std::size_t max_plain_body = kMaxCallerBodyBytes;
  // Cancels waiting to be sent; more are dropped.
  std::size_t max_queued_cancels = 1024;
};

// Thread-safe. Owns two threads: one watches attempts for silence, deadlines
// and callers that left, one sends cancels. The destructor joins them; no
// Run() may be under way then. The constructor makes the process ignore
// SIGPIPE, since a target may close while it is written to.
class TargetClient {
 public:
  TargetClient(base::Clock clock, TargetClientOptions options);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  // Blocks until the attempt ended, at most about spec.timeout.
  request::AttemptReport Run(const request::AttemptSpec& spec,
                             const request::TokenSink& sink);

  // Queues POST /v1/cancel to the attempt's engine and returns at once. Plain
  // services know no cancel.
  void Cancel(const request::AttemptSpec& spec);

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CLIENT_H_
