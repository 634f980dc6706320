// Decides which prompts run at their priority, which at a lower one, and which
// are rejected.
//
// In a burst more prompts may arrive than the engines can prefill. In arrival
// order, a prompt that misses its latency target would delay those behind it;
// rejecting it would waste engines that become idle soon after. It is therefore
// deferred to a lower priority and prefilled after all prompts that can still
// be in time. Only prompts whose callers would time out are rejected, at once.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_LATENCY_ADMISSION_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_LATENCY_ADMISSION_H_

#include "base/time.h"

namespace lynxglade::request::passthrough {

struct LatencyAdmissionOptions {
  // Longest expected wait of a prompt in time, as a fraction of the route's
  // latency target; the rest is for prefill and generation.
  double max_wait_per_target = 0.6;
  // Longest expected wait of a late prompt, as a fraction of the time in which
  // its caller still accepts a first byte; waits are hard to predict that far
  // ahead. With a larger fraction more requests end in vain.
  double max_wait_per_time_left = 0.5;
};

// When a prompt is expected to be prefilled.
struct LatencyForecast {
  // Until its prefill starts.
  base::Duration wait{};
  // Until the first byte.
  base::Duration expected{};
};

// Added to the priority of late requests, so that they come after the requests
// of all routes that are in time. Targets know ten priorities, and routes take
// the first three.
inline constexpr int kLatePriorityOffset = 5;

// Whether the prompt will miss the latency target. Its own size does not count,
// so that large prompts are not at a disadvantage. Always false for a target of
// 0 (none).
bool MissesLatencyTarget(const LatencyForecast& forecast,
                         base::Duration latency_target,
                         const LatencyAdmissionOptions& options) noexcept;

// Whether to reject the prompt; `time_left`: how long its caller waits for the
// first byte. `capacity_fraction`: part of the longest wait that it may have
// (served_shares.h).
bool ExceedsCallerTimeout(const LatencyForecast& forecast,
                          base::Duration time_left,
                          const LatencyAdmissionOptions& options,
                          double capacity_fraction = 1) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_LATENCY_ADMISSION_H_
