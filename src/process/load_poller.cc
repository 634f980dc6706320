#include "process/load_poller.h"

#include <algorithm>
#include <utility>

namespace lynxglade::process {

LoadPoller::LoadPoller(LoadPollerOptions options, LoadPollerHooks hooks)
    : options_(options), hooks_(std::move(hooks)) {
  for (std::size_t i = 0; i < options_.threads; ++i) {
    threads_.emplace_back([this, i] { PollLoop(i); });
  }
}

LoadPoller::~LoadPoller() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  std::ranges::for_each(threads_, [](std::thread& thread) { thread.join(); });
}

void LoadPoller::PollLoop(std::size_t worker) {
  while (true) {
    const base::Time start = base::BootClock::now();
    const std::vector<ListedTarget> rows = hooks_.targets();
    for (std::size_t i = worker; i < rows.size(); i += options_.threads) {
      if (const auto report = hooks_.fetch(rows[i])) {
        hooks_.on_report(*report);
      }
      if (!Wait(base::Duration::zero())) {
        return;
      }
    }
    const base::Duration elapsed = base::BootClock::now() - start;
    const base::Duration pause =
        rows.empty() ? options_.empty_interval : options_.interval - elapsed;
    if (!Wait(std::max(pause, base::Duration::zero()))) {
      return;
    }
  }
}

bool LoadPoller::Wait(base::Duration d) {
  std::unique_lock lock(mutex_);
  return !stop_.wait_for(lock, d, [this] { return stopping_; });
}

}  // namespace lynxglade::process
