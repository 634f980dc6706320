// Counts a request at a target for the lifetime of this object, and records how
// long its prefill waited.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_IN_FLIGHT_REQUEST_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_IN_FLIGHT_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

class InFlightRequest {
 public:
  // `prefill_tokens` are to be prefilled there, which takes `prefill_time`
  // without waiting; 0 if there is no prefill.
  InFlightRequest(EngineHandle engine,
                  int priority,
                  std::int64_t prefill_tokens,
                  base::Duration prefill_time,
                  base::Time now)
      : engine_(std::move(engine)),
        priority_(priority),
        prefill_tokens_(prefill_tokens) {
    ++engine_->in_flight;
    if (prefill_tokens_ > 0) {
      PrefillQueue& queue = engine_->prefills[priority_];
      queue.prefill_tokens += prefill_tokens_;
      due_ = now + prefill_time;
      queue.due.insert(*due_);
    }
  }
  ~InFlightRequest() {
    RemovePrefill();
    --engine_->in_flight;
  }
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;

  // The target has prefilled the prompt.
  void OnPrefillDone(base::Time now) {
    if (due_) {
      PrefillQueue& queue = engine_->prefills[priority_];
      queue.last_wait = std::max(now - *due_, base::Duration::zero());
      queue.last_wait_at = now;
    }
    RemovePrefill();
  }

 private:
  void RemovePrefill() {
    if (due_) {
      PrefillQueue& queue = engine_->prefills[priority_];
      queue.prefill_tokens -= prefill_tokens_;
      queue.due.erase(queue.due.find(*due_));
      due_.reset();
    }
  }

  const EngineHandle engine_;
  const int priority_;
  const std::int64_t prefill_tokens_;
  std::optional<base::Time> due_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_IN_FLIGHT_REQUEST_H_
