// Time as the system sees it.
//
// Decisions never read a clock of their own: they take a Clock through the
// constructor, so that a test can drive them at any speed.
#ifndef LYNXGLADE_BASE_TIME_H_
#define LYNXGLADE_BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace lynxglade::base {

// A clock that goes on while the machine is suspended (CLOCK_BOOTTIME), so
// that a lease cannot look alive after a sleep that outlasted it. Meets the
// standard's TrivialClock requirements.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard names it. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  // Thread-safe; never fails on Linux.
  static time_point now() noexcept;
};

using Time = BootClock::time_point;
using Duration = BootClock::duration;

// Returns the present. BootClock::now in the daemon, a variable in tests.
using Clock = std::function<Time()>;

// Milliseconds since the Unix epoch, for logs and for messages to outsiders.
// Never used to decide anything.
std::int64_t WallMillis() noexcept;

// Whole milliseconds of a duration, rounded towards zero.
std::int64_t ToMillis(Duration d) noexcept;

// Milliseconds with their fraction, the unit in which costs are compared.
using FineMillis = std::chrono::duration<double, std::milli>;
inline double ToFineMillis(Duration d) noexcept {
  return FineMillis(d).count();
}
inline Duration FromFineMillis(double ms) noexcept {
  return std::chrono::duration_cast<Duration>(FineMillis(ms));
}

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_TIME_H_
