#include "connection/event/loop_lag.h"

#include <algorithm>
#include <utility>

#include "connection/event/sleep.h"
#include "connection/event/tasks.h"

namespace lynxglade::connection::event {

namespace {

constexpr base::Duration kInterval = std::chrono::milliseconds(50);

}  // namespace

LoopLag::LoopLag(asio::io_context& loop, base::Clock clock)
    : loop_(loop), clock_(std::move(clock)) {}

void LoopLag::Start() {
  SpawnPermanent(loop_, "loop_lag", [this] { return Measure(); });
}

Awaitable<void> LoopLag::Measure() {
  while (true) {
    const base::Time due = clock_() + kInterval;
    co_await SleepFor(loop_, kInterval);
    Record(clock_() - due);
  }
}

void LoopLag::Record(base::Duration lag) noexcept {
  lags_.at(next_) = lag;
  next_ = (next_ + 1) % kMeasurements;
}

base::Duration LoopLag::last() const noexcept {
  return lags_.at((next_ + kMeasurements - 1) % kMeasurements);
}

base::Duration LoopLag::standing() const noexcept {
  return *std::ranges::min_element(lags_);
}

}  // namespace lynxglade::connection::event
