#include "base/time.h"

#include <time.h>

namespace lynxglade::base {

BootClock::time_point BootClock::now() noexcept {
  timespec ts{};
  ::clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) +
                    std::chrono::nanoseconds(ts.tv_nsec));
}

std::int64_t WallMillis() noexcept {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::int64_t ToMillis(Duration d) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace lynxglade::base
