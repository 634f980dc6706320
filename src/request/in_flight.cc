#include "request/in_flight.h"

#include <utility>

namespace lynxglade::request {

InFlight::InFlight(const Target& target, const Cost& cost, base::Time now)
    : load_(target.local_load), left_(cost) {
  load_->running.fetch_add(1, std::memory_order_relaxed);
  load_->prefill_tokens.fetch_add(cost.prefill.value(),
                                  std::memory_order_relaxed);
  load_->decode_tokens.fetch_add(cost.decode.value(),
                                 std::memory_order_relaxed);
  load_->history.Record(cost, now);
}

InFlight::~InFlight() {
  Release();
}

InFlight& InFlight::operator=(InFlight&& other) noexcept {
  if (this != &other) {
    Release();
    load_ = std::move(other.load_);
    left_ = other.left_;
  }
  return *this;
}

void InFlight::PrefillDone() noexcept {
  if (!load_) {
    return;
  }
  load_->prefill_tokens.fetch_sub(left_.prefill.value(),
                                  std::memory_order_relaxed);
  left_.prefill = base::Tokens(0);
}

void InFlight::Release() noexcept {
  if (!load_) {
    return;
  }
  load_->running.fetch_sub(1, std::memory_order_relaxed);
  load_->prefill_tokens.fetch_sub(left_.prefill.value(),
                                  std::memory_order_relaxed);
  load_->decode_tokens.fetch_sub(left_.decode.value(),
                                 std::memory_order_relaxed);
  load_.reset();
}

}  // namespace lynxglade::request
