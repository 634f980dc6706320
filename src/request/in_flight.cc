#include "request/in_flight.h"

#include <utility>

namespace lynxglade::request {

InFlight::InFlight(const Target& target, const Cost& cost, base::Time now)
    : load_(target.local_load), remaining_cost_(cost) {
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
    remaining_cost_ = other.remaining_cost_;
  }
  return *this;
}

void InFlight::OnPrefillDone() noexcept {
  if (!load_) {
    return;
  }
  load_->prefill_tokens.fetch_sub(remaining_cost_.prefill.value(),
                                  std::memory_order_relaxed);
  remaining_cost_.prefill = base::Tokens(0);
}

void InFlight::Release() noexcept {
  if (!load_) {
    return;
  }
  load_->running.fetch_sub(1, std::memory_order_relaxed);
  load_->prefill_tokens.fetch_sub(remaining_cost_.prefill.value(),
                                  std::memory_order_relaxed);
  load_->decode_tokens.fetch_sub(remaining_cost_.decode.value(),
                                 std::memory_order_relaxed);
  load_.reset();
}

}  // namespace lynxglade::request
