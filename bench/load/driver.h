// Plays a trace against entry instances in an open loop: each request is sent
// at its scheduled time, regardless of the earlier requests.
#ifndef LYNXGLADE_BENCH_LOAD_DRIVER_H_
#define LYNXGLADE_BENCH_LOAD_DRIVER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <vector>

#include "base/time.h"
#include "load/caller.h"
#include "load/tally.h"
#include "load/trace.h"

namespace lynxglade::bench {

struct DriverOptions {
  // Requests are distributed round-robin, as by a load balancer; a repeat goes
  // to the next instance.
  std::vector<Endpoint> entries;
  Workload workload;
  // Maximum number of threads, one per request; further arrivals count as
  // unsent.
  std::size_t max_in_flight = 2000;
  // Time to wait for a response after its deadline.
  base::Duration grace_period = std::chrono::seconds(60);
};

// Called about once per second on a thread of the driver, with the time since
// the start and the number of in-flight requests.
using ProgressHook =
    std::function<void(base::Duration since_start, std::size_t in_flight)>;

// Plays `trace` and returns when every request has ended. Sends no more
// requests once `stop` is true. Its threads use the process-wide default stack
// size, which the caller should make small.
void PlayTrace(const DriverOptions& options,
               const std::vector<TraceItem>& trace,
               const std::atomic<bool>& stop,
               const ProgressHook& on_progress,
               Tally* tally);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_DRIVER_H_
