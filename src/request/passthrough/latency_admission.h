// Who is read at once, who gives way, and who is refused.
//
// More prompts may come in a second or two than the engines read. A prompt that
// would wait past its goal is late whatever is done; read in turn it would make
// those behind it late, too, and refused it would not be served at all although
// engines fall idle soon after. So it gives way: it is read when nothing waits
// that can still be in time. Only what would wait for longer than its caller
// stays is refused, at once.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_LATENCY_ADMISSION_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_LATENCY_ADMISSION_H_

#include "base/time.h"

namespace lynxglade::request::passthrough {

struct LatencyAdmissionOptions {
  // Longest expected wait of a prompt that counts as in time, in parts of the
  // goal for its first byte; the rest is for reading and generating. 0.4, 0.6
  // and 0.8 earned 0.535, 0.540 and 0.543 on days with trouble.
  double max_wait_per_target = 0.6;
  // Longest expected wait of a late one, in parts of the time in which its
  // caller still wants a first byte: waits are known badly that far ahead.
  // 0.35, 0.5 and 0.7 earned 0.538, 0.540 and 0.548 there, and 0.023, 0.030 and
  // 0.037 of the requests ended in vain.
  double max_wait_per_time_left = 0.5;
};

// When a prompt would be read, as foreseen.
struct LatencyForecast {
  // Until it begins to be read.
  base::Duration wait{};
  // Until the first byte.
  base::Duration expected{};
};

// Late requests come after those in time of every route: the platform knows ten
// ranks, and the users' routes take the first three.
inline constexpr int kLatePriorityOffset = 5;

// Whether the prompt is late for certain. Its own size does not count: large
// prompts are as welcome as small ones. Never for a route without a goal.
bool MissesLatencyTarget(const LatencyForecast& outlook,
                         base::Duration goal,
                         const LatencyAdmissionOptions& options) noexcept;

// Whether to refuse it. `left`: how long its caller waits for the first byte.
bool ExceedsCallerTimeout(const LatencyForecast& outlook,
                          base::Duration left,
                          const LatencyAdmissionOptions& options) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_LATENCY_ADMISSION_H_
