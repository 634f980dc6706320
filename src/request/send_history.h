// What this process sent to one target lately, by time.
//
// A load report describes a moment in the past. What was sent after that
// moment is not in it, so routing adds it. The history is a ring of time
// slots; it is lock-free, and a slot that is being recycled while it is read
// may be counted short by the sends of that instant.
#ifndef LYNXGLADE_REQUEST_SEND_HISTORY_H_
#define LYNXGLADE_REQUEST_SEND_HISTORY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "request/cost.h"

namespace lynxglade::request {

// Sends summed over some time.
struct SentWork {
  int requests = 0;
  Cost cost;
};

// One target's ring. Thread-safe.
class SendHistory {
 public:
  // Width of a slot and how far back the ring reaches.
  static constexpr base::Duration kSlot = std::chrono::milliseconds(128);
  static constexpr std::size_t kSlots = 32;
  static constexpr base::Duration kSpan = kSlot * kSlots;

  SendHistory() = default;
  SendHistory(const SendHistory&) = delete;
  SendHistory& operator=(const SendHistory&) = delete;

  void Record(const Cost& cost, base::Time now) noexcept;

  // Sends at or after `since`, rounded down to the start of its slot and
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
