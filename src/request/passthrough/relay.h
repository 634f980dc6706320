// A request from its caller to a target and back.
//
// The relay finds the route, chooses the target, sends, passes the answer on,
// and repeats where that is safe: a request that was not run anywhere may go
// to another target; one of unknown outcome only if its route lets it run
// twice; a broken stream goes on after its last whole event. What it tells the
// caller is true: a refusal that promises not-run is given only if no target
// has run the request or will.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_H_

#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "request/passthrough/answer_admission.h"
#include "request/passthrough/engine_picker.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/generation_times.h"
#include "request/passthrough/latency_admission.h"
#include "request/passthrough/prefill_times.h"
#include "request/passthrough/route_table.h"
#include "request/passthrough/shared_retry_budget.h"
#include "request/passthrough/target_protocol.h"
#include "request/passthrough/zone_health.h"

namespace lynxglade::request::passthrough {

struct RelayOptions {
  // Targets that may reject a request before it is refused. Each costs the
  // fleet's retry allowance one arrival.
  int max_rejections = 2;
  // A first reading is rejected within so long, or not at all but for rare
  // reasons: a target says at once that it is full, or not meant. The way there
  // and back takes 4 ms at most between availability zones, and 17 KB of a
  // prompt 7 ms at 20 Mbit/s. Held until they are answered, 656 readings a
  // second of up to two seconds take more than the allowance of 295 instances.
  base::Duration rejection_window = std::chrono::milliseconds(50);
  // What cannot be paid for waits so long for what is held to be released, and
  // for other instances to lend (a few ms away); tried again that often. Then a
  // retry is denied; a prompt that cannot be read apart is refused, or read by
  // the engine that runs it if it is short.
  base::Duration budget_timeout = std::chrono::milliseconds(500);
  base::Duration budget_poll_interval = std::chrono::milliseconds(10);
  // Targets that a request may find unreachable before it is refused. They cost
  // no one but its caller, 300 ms each at most.
  int max_unreachable = 4;
  LatencyAdmissionOptions admission;
  // An answer that is no stream is held until it is whole, so that a torn one
  // never reaches the caller; beyond this size it is passed on piece by piece.
  std::size_t max_buffered_bytes = std::size_t{256} * 1024;
  // Before it is worth sending a request again.
  base::Duration min_time_left = std::chrono::milliseconds(30);
  // What refused callers are told to wait: this, or a part of the time that
  // they have left if that is longer, plus up to as much again, so that they do
  // not come back together. Bursts last for seconds, and most callers come back
  // once.
  base::Duration retry_after = std::chrono::milliseconds(300);
  double retry_after_of_time_left = 0.1;
  // Where the configuration names no timeout and the caller no patience.
  base::Duration default_timeout = std::chrono::seconds(30);
};

// The parts of the process that a request uses; they outlive the relay.
struct RelayDependencies {
  connection::event::asio::io_context& loop;
  connection::event::ChannelPool& channels;
  EngineTable& engines;
  const EnginePicker& choice;
  PrefillTimes& prefill_times;
  GenerationTimes& generation_times;
  AnswerAdmission& answers;
  SharedRetryBudget& allowance;
  ZoneHealth& zones;
  base::Metrics& metrics;
  base::Clock clock;
  base::RandomSource random;
  TargetProtocol protocol;
  // The configuration in force, or null before the first.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  // False once this instance stops and could no longer finish a new request.
  std::function<bool()> accepts;
  // Instances that may be up, this one included.
  std::function<int()> instances;
  // How old the view of the targets is.
  std::function<base::Duration()> view_age;
};

// Not thread-safe: lives on the event loop.
class Relay {
 public:
  explicit Relay(RelayDependencies parts, RelayOptions options = {});
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Answers the request; returns when the answer is sent or broken off.
  connection::event::Awaitable<void> Serve(
      std::shared_ptr<connection::event::CallerRequest> request,
      connection::event::CallerReply& reply);

 private:
  RelayDependencies parts_;
  const RelayOptions options_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_H_
