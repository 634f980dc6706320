// Tracks from this instance's own requests whether a target is usable.
//
// A target that could not be reached, broke a connection or rejects requests
// although it has capacity is avoided for a while, longer with each consecutive
// failure. After that a single request probes it; further requests follow once
// one is accepted.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_HEALTH_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_HEALTH_H_

#include "base/time.h"

namespace lynxglade::request::passthrough {

struct EngineHealthOptions {
  // After the first failure; doubled for each consecutive one.
  base::Duration initial_avoidance = std::chrono::milliseconds(500);
  base::Duration max_avoidance = std::chrono::seconds(4);
  // Consecutive rejections of requests with KV cache to fetch before the target
  // is taken to reject everything; one may be due to the cache.
  int max_rejected_fetches = 2;
};

// Not thread-safe: used on the event loop only.
class EngineHealth {
 public:
  explicit EngineHealth(EngineHealthOptions options = {}) noexcept;

  // A request is being sent. After failures this is a probe, and the target is
  // avoided again meanwhile.
  void OnTry(base::Time now) noexcept;
  // It could not be reached, broke the connection, or is another target now.
  void OnFailure(base::Time now) noexcept;
  // It rejected a request although it has capacity. `fetches`: the request had
  // KV cache to fetch, which may be the cause.
  void OnRejection(bool fetches, base::Time now) noexcept;
  // It runs a request, or has prefilled a prompt.
  void OnAccepted() noexcept;

  // The failures had another cause than the target.
  void Clear() noexcept { OnAccepted(); }

  // Whether other targets should be preferred.
  bool IsAvoided(base::Time now) const noexcept { return now < avoid_until_; }
  base::Time avoid_until() const noexcept { return avoid_until_; }
  // Whether it has rejected several requests in a row, so that a rejection says
  // nothing about the request itself.
  bool RejectsAll() const noexcept;

 private:
  EngineHealthOptions options_;
  base::Time avoid_until_{};
  int failures_in_a_row_ = 0;
  int rejections_in_a_row_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_HEALTH_H_
