// Work that this process recently sent to one target, by time.
//
// Routing uses it to add to a load report what was sent after the report was
// made. The history is a lock-free ring of time slots. A slot that is reused
// while it is read or written may lose the sends of that instant.
#ifndef LYNXGLADE_REQUEST_SEND_HISTORY_H_
#define LYNXGLADE_REQUEST_SEND_HISTORY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "request/cost.h"

namespace lynxglade::request {

// The sum of the sends of a time span.
struct SentWork {
  int requests = 0;
  Cost cost;
};

// One target's ring. Thread-safe.
class SendHistory {
 public:
  // Width of a slot, number of slots, and the time span of the ring.
  static constexpr base::Duration kSlot = std::chrono::milliseconds(128);
  static constexpr std::size_t kSlots = 32;
  static constexpr base::Duration kSpan = kSlot * kSlots;

  SendHistory() = default;
  SendHistory(const SendHistory&) = delete;
  SendHistory& operator=(const SendHistory&) = delete;

  void Record(const Cost& cost, base::Time now) noexcept;

  // Sum of the sends since `since`, rounded down to the start of its slot and
  // limited to the last kSpan before `now`.
  SentWork SumSince(base::Time since, base::Time now) const noexcept;

 private:
  struct Slot {
    std::atomic<std::int64_t> number{-1};
    std::atomic<std::int32_t> requests{0};
    std::atomic<std::int32_t> prefill{0};
    std::atomic<std::int32_t> decode{0};
  };
  std::array<Slot, kSlots> slots_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_SEND_HISTORY_H_
