#include "request/send_history.h"

#include <algorithm>
#include <limits>

namespace lynxglade::request {

namespace {

std::int64_t SlotNumber(base::Time at) noexcept {
  return at.time_since_epoch() / SendHistory::kSlot;
}

std::int32_t Narrow(base::Tokens n) noexcept {
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max() / 64;
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(n.value(), 0, kMax));
}

}  // namespace

void SendHistory::Record(const Cost& cost, base::Time now) noexcept {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = slots_[static_cast<std::size_t>(number) % kSlots];
  std::int64_t seen = slot.number.load(std::memory_order_relaxed);
  // Only the thread that moves the slot to its new time resets it.
  if (seen != number && slot.number.compare_exchange_strong(
                            seen, number, std::memory_order_relaxed)) {
    slot.requests.store(0, std::memory_order_relaxed);
    slot.prefill.store(0, std::memory_order_relaxed);
    slot.decode.store(0, std::memory_order_relaxed);
  }
  slot.requests.fetch_add(1, std::memory_order_relaxed);
  slot.prefill.fetch_add(Narrow(cost.prefill), std::memory_order_relaxed);
  slot.decode.fetch_add(Narrow(cost.decode), std::memory_order_relaxed);
}

SentWork SendHistory::SumSince(base::Time since,
                               base::Time now) const noexcept {
  const std::int64_t last = SlotNumber(now);
  const std::int64_t oldest = last - static_cast<std::int64_t>(kSlots) + 1;
  const std::int64_t first = std::max(SlotNumber(since), oldest);
  SentWork sum;
  for (std::int64_t number = first; number <= last; ++number) {
    const Slot& slot = slots_[static_cast<std::size_t>(number) % kSlots];
    if (slot.number.load(std::memory_order_relaxed) != number) {
      continue;
    }
    sum.requests += slot.requests.load(std::memory_order_relaxed);
    sum.cost.prefill +=
        base::Tokens(slot.prefill.load(std::memory_order_relaxed));
    sum.cost.decode +=
        base::Tokens(slot.decode.load(std::memory_order_relaxed));
  }
  return sum;
}

}  // namespace lynxglade::request
