// Clocks, time points and durations.
//
// Code that decides by time takes a Clock in its constructor, so that tests can
// control the time.
#ifndef LYNXGLADE_BASE_TIME_H_
#define LYNXGLADE_BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace lynxglade::base {

// CLOCK_BOOTTIME: also advances while the machine is suspended, so that a lease
// that expired during a suspend is seen as expired. Meets the standard's
// TrivialClock requirements.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // Name required by the standard.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  // Thread-safe.
  static time_point now() noexcept;
};

using Time = BootClock::time_point;
using Duration = BootClock::duration;

// Returns the current time: BootClock::now, or a fake clock in tests.
using Clock = std::function<Time()>;

// Milliseconds since the Unix epoch, for logs and for data exchanged with other
// systems. Can be adjusted at any time: do not base timeouts or leases on it.
std::int64_t WallMillis() noexcept;

// Rounds towards zero.
std::int64_t ToMillis(Duration d) noexcept;

// Milliseconds with a fraction; the unit of routing costs.
using FineMillis = std::chrono::duration<double, std::milli>;
inline double ToFineMillis(Duration d) noexcept {
  return FineMillis(d).count();
}
inline Duration FromFineMillis(double ms) noexcept {
  return std::chrono::duration_cast<Duration>(FineMillis(ms));
}

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_TIME_H_
