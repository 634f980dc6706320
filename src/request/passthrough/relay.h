// Forwards a request from its caller to a target, and the answer back.
//
// The relay finds the route, picks the target, sends the request, forwards the
// answer, and retries where this is safe: a request that did not run may go to
// another target; one of unknown outcome only if its route allows it to run
// twice; a broken stream is resumed after its last complete event. Content that
// crashes its targets is refused. A refusal that states "not run" is sent only
// if no target has run the request or will.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "request/passthrough/answer_admission.h"
#include "request/passthrough/crash_checks.h"
#include "request/passthrough/engine_picker.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/forecast_errors.h"
#include "request/passthrough/generation_times.h"
#include "request/passthrough/latency_admission.h"
#include "request/passthrough/prefill_times.h"
#include "request/passthrough/route_table.h"
#include "request/passthrough/run_times.h"
#include "request/passthrough/send_limits.h"
#include "request/passthrough/served_shares.h"
#include "request/passthrough/shared_retry_budget.h"
#include "request/passthrough/target_protocol.h"
#include "request/passthrough/zone_health.h"
#include "request/quarantine.h"

namespace lynxglade::request::passthrough {

struct RelayOptions {
  // A request is retried after at most this many rejections. Each retry uses
  // one arrival of the shared retry budget.
  int max_rejections = 2;
  // How long the cost of a first prefill stays reserved. Targets that are full
  // or misdirected reject at once, round trip and upload included; reserving
  // until the prefill is done would exhaust the budget.
  base::Duration rejection_window = std::chrono::milliseconds(50);
  // How long a request waits for budget, that is for released reservations and
  // loans of other instances, and how often it checks. After that a retry is
  // denied; a prompt that cannot be prefilled separately is refused or, if it
  // is short or this instance has just started, prefilled by the engine that
  // runs it.
  base::Duration budget_timeout = std::chrono::milliseconds(500);
  base::Duration budget_poll_interval = std::chrono::milliseconds(10);
  // How long a first prefill waits for budget after this instance's start: for
  // a loan. A longer wait would be in vain, and the runner may prefill then.
  base::Duration start_budget_timeout = std::chrono::milliseconds(200);
  // How long a request whose prompt is prefilled waits for a target that is not
  // at its limit, and how often it checks.
  base::Duration permit_timeout = std::chrono::milliseconds(500);
  // Within this time targets must permit a request whose prompt is to be
  // prefilled: the usual time of a prefill and part of `permit_timeout`.
  base::Duration permit_horizon = std::chrono::milliseconds(500);
  base::Duration permit_poll_interval = std::chrono::milliseconds(10);
  // A request is retried after at most this many unreachable targets. They use
  // no retry budget, but a connection timeout each.
  int max_unreachable = 4;
  // Likewise for targets at which a suspect may not be rerun now.
  int max_held_back = 4;
  // How long a request waits for checks of targets that broke its connection,
  // and how often it asks for their result.
  base::Duration evidence_timeout = std::chrono::milliseconds(700);
  base::Duration evidence_poll_interval = std::chrono::milliseconds(10);
  LatencyAdmissionOptions admission;
  // An answer that is not a stream, and a single event of one, is buffered up
  // to this size, so that the caller never gets a truncated one; a larger one
  // is forwarded piece by piece.
  std::size_t max_buffered_bytes = std::size_t{256} * 1024;
  // Least time before the deadline at which a request is still retried.
  base::Duration min_time_left = std::chrono::milliseconds(30);
  // Retry-After of refused requests: this, or a fraction of the time left if
  // that is longer, plus up to 100% of random jitter so that callers do not
  // come back together. Bursts last for seconds, and most callers come back
  // once.
  base::Duration retry_after = std::chrono::milliseconds(300);
  double retry_after_of_time_left = 0.1;
  // With an older view of the store, a request that the configuration does not
  // allow is not denied: a newer one may allow it.
  base::Duration max_view_age = std::chrono::milliseconds(2000);
  // For callers that state no timeout; a shorter timeout of the route applies.
  base::Duration default_timeout = std::chrono::seconds(30);
};

// Parts of the process that requests use; all must outlive the relay.
struct RelayDependencies {
  connection::event::asio::io_context& loop;
  connection::event::ChannelPool& channels;
  EngineTable& engines;
  const EnginePicker& picker;
  PrefillTimes& prefill_times;
  GenerationTimes& generation_times;
  AnswerAdmission& answers;
  ForecastErrors& forecast_errors;
  ServedShares& served_shares;
  SharedRetryBudget& retry_budget;
  SendLimits& limits;
  Quarantine& quarantine;
  CrashChecks& crash_checks;
  ZoneHealth& zones;
  RunTimes& run_times;
  base::Metrics& metrics;
  base::Clock clock;
  base::RandomSource random;
  TargetProtocol protocol;
  // The current configuration; null before the first one.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  // False once this instance is stopping and could not finish a new request.
  std::function<bool()> accepts;
  // Until this instance ends all requests; nothing unless it is stopping. May
  // be empty.
  std::function<std::optional<base::Duration>()> time_to_stop;
  // Number of instances that may be up, including this one.
  std::function<int()> instances;
  // Age of the view of the targets.
  std::function<base::Duration()> view_age;
  // Called once for each request, with whether the targets in use were crowded:
  // it had to wait for one, or was rejected. May be empty.
  std::function<void(bool crowded)> on_placed;
  // Called once for each request of an organisation that a target began to run,
  // with the time at which it began. May be empty.
  std::function<void(const base::OrganisationId&, base::Time began)> on_run;
};

class RelayRun;

// Not thread-safe: used on the event loop only.
class Relay {
 public:
  explicit Relay(RelayDependencies deps, RelayOptions options = {});
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Answers the request; returns when the answer is sent or aborted.
  connection::event::Awaitable<void> Serve(
      std::shared_ptr<connection::event::CallerRequest> request,
      connection::event::CallerReply& reply);
  // Ends all requests that are being served: each is answered at once, as far
  // as no answer has begun.
  void EndAll();

 private:
  RelayDependencies deps_;
  const RelayOptions options_;
  // Shared with the requests, which may end after the relay.
  std::shared_ptr<std::set<RelayRun*>> runs_ =
      std::make_shared<std::set<RelayRun*>>();
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_H_
