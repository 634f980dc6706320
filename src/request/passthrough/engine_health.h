// What this instance's own requests say of whether a target can be used.
//
// A target that could not be reached, broke off or rejects what it has room
// for is avoided for a time, longer with each failure in a row. When the time
// is over one request tries it, and the others follow if that one is answered.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_HEALTH_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_HEALTH_H_

#include "base/time.h"

namespace lynxglade::request::passthrough {

struct EngineHealthOptions {
  // After the first failure; twice as long for each further one in a row.
  base::Duration initial_avoidance = std::chrono::milliseconds(500);
  base::Duration max_avoidance = std::chrono::seconds(4);
  // Rejections in a row, of requests that came with KV cache to fetch, before
  // the target is taken to reject everything. One may be the cache's fault.
  int max_rejected_fetches = 2;
};

// Not thread-safe: lives on the event loop.
class EngineHealth {
 public:
  explicit EngineHealth(EngineHealthOptions options = {}) noexcept;

  // A request is sent there. While the target is on trial no other is.
  void OnTry(base::Time now) noexcept;
  // It could not be reached, broke off, or is another target by now.
  void OnFailure(base::Time now) noexcept;
  // It rejected a request although it has room. `fetches`: the request came
  // with KV cache to fetch, which may be what failed.
  void OnRejection(bool fetches, base::Time now) noexcept;
  // It runs a request, or has read a prompt.
  void OnAccepted() noexcept;

  // Whether other targets are to be preferred.
  bool Avoided(base::Time now) const noexcept { return now < avoid_until_; }
  base::Time avoid_until() const noexcept { return avoid_until_; }
  // Whether it has rejected several requests in a row, so that a further
  // rejection says nothing of the request.
  bool RejectsAll() const noexcept;

 private:
  EngineHealthOptions options_;
  base::Time avoid_until_{};
  int failures_in_a_row_ = 0;
  int rejections_in_a_row_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_HEALTH_H_
