// Measures how late the event loop runs its handlers.
#ifndef LYNXGLADE_CONNECTION_EVENT_LOOP_LAG_H_
#define LYNXGLADE_CONNECTION_EVENT_LOOP_LAG_H_

#include <array>
#include <cstddef>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Not thread-safe: runs on the event loop.
class LoopLag {
 public:
  LoopLag(asio::io_context& loop, base::Clock clock);
  LoopLag(const LoopLag&) = delete;
  LoopLag& operator=(const LoopLag&) = delete;

  // Begins to measure. Must outlive the loop's last handler.
  void Start();
  // Adds one measurement.
  void Record(base::Duration lag) noexcept;

  // The last measurement.
  base::Duration last() const noexcept;
  // The least of the last measurements: handlers have waited at least so long
  // all the while. Zero if the process only pauses now and then.
  base::Duration standing() const noexcept;

 private:
  static constexpr std::size_t kMeasurements = 4;

  Awaitable<void> Measure();

  asio::io_context& loop_;
  const base::Clock clock_;
  std::array<base::Duration, kMeasurements> lags_{};
  std::size_t next_ = 0;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_LOOP_LAG_H_
