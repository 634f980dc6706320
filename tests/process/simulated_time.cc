#include "process/simulated_time.h"

#include <chrono>

namespace {

// Not zero, so that times before the start can be stated.
std::chrono::nanoseconds simulated_time = std::chrono::hours(1);

}  // namespace

// In place of the library's: the linker prefers a program's own definition.
std::chrono::steady_clock::time_point
std::chrono::steady_clock::now() noexcept {
  return std::chrono::steady_clock::time_point(simulated_time);
}

namespace lynxglade::process {

namespace {

using connection::event::ErrorCode;
namespace asio = connection::event::asio;

constexpr base::Duration kStep = std::chrono::milliseconds(5);

// Asio asks the kernel when its next timer expires, and the kernel has its own
// time. A timer that has expired already makes Asio look at all of them.
void RunExpiredTimers(asio::io_context& loop) {
  asio::steady_timer timer(loop, std::chrono::steady_clock::time_point::min());
  bool expired = false;
  timer.async_wait([&expired](const ErrorCode&) { expired = true; });
  loop.restart();
  while (!expired) {
    loop.poll();
  }
  loop.restart();
  loop.poll();
}

}  // namespace

base::Time SimulatedNow() {
  return base::Time(simulated_time);
}

void AdvanceTime(asio::io_context& loop, base::Duration time) {
  const base::Time end = SimulatedNow() + time;
  while (SimulatedNow() < end) {
    simulated_time += kStep;
    RunExpiredTimers(loop);
  }
}

}  // namespace lynxglade::process
