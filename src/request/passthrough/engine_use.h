// Counts a request at a target for as long as it is there.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_USE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_USE_H_

#include <cstdint>
#include <utility>

#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

class EngineUse {
 public:
  EngineUse(EngineHandle engine, std::int64_t unread_tokens)
      : engine_(std::move(engine)), unread_(unread_tokens) {
    ++engine_->in_flight;
    engine_->unread_tokens += unread_;
  }
  ~EngineUse() {
    PromptRead();
    --engine_->in_flight;
  }
  EngineUse(const EngineUse&) = delete;
  EngineUse& operator=(const EngineUse&) = delete;

  // The target has read the prompt: its first token is there.
  void PromptRead() noexcept {
    engine_->unread_tokens -= std::exchange(unread_, 0);
  }

 private:
  const EngineHandle engine_;
  std::int64_t unread_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_USE_H_
