// Counts a request at a target for as long as it is there, and learns how long
// prompts wait there to be read.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_USE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_USE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

class EngineUse {
 public:
  // `unread_tokens` are to be read there, which takes `read_time` if nothing
  // else is; none for what has no prompt to read.
  EngineUse(EngineHandle engine,
            std::int64_t unread_tokens,
            base::Duration read_time,
            base::Time now)
      : engine_(std::move(engine)), unread_(unread_tokens) {
    ++engine_->in_flight;
    engine_->unread_tokens += unread_;
    if (unread_ > 0) {
      due_ = now + read_time;
      engine_->reads_due.insert(*due_);
    }
  }
  ~EngineUse() {
    Forget();
    --engine_->in_flight;
  }
  EngineUse(const EngineUse&) = delete;
  EngineUse& operator=(const EngineUse&) = delete;

  // The target has read the prompt.
  void PromptRead(base::Time now) {
    if (due_) {
      engine_->waited = std::max(now - *due_, base::Duration::zero());
      engine_->waited_at = now;
    }
    Forget();
  }

 private:
  void Forget() {
    engine_->unread_tokens -= std::exchange(unread_, 0);
    if (due_) {
      engine_->reads_due.erase(engine_->reads_due.find(*due_));
      due_.reset();
    }
  }

  const EngineHandle engine_;
  std::int64_t unread_;
  std::optional<base::Time> due_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_USE_H_
