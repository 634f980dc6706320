#include "connection/target_client_watch.h"

#include <algorithm>
#include <utility>

namespace lynxglade::connection {

namespace {

// Cancellation is polled only after the target has been silent for this long:
// before that, the next write to the caller detects a disconnect.
constexpr base::Duration kCancelPollDelay = std::chrono::milliseconds(100);

}  // namespace

WatchedAttempt::WatchedAttempt(Options options, base::Time now)
    : options_(std::move(options)),
      deadline_(options_.deadline),
      last_activity_(now) {}

void WatchedAttempt::Arm(base::Time now) noexcept {
  last_activity_ = now;
  armed_ = true;
}

void WatchedAttempt::Touch(base::Time now) noexcept {
  last_activity_ = now;
}

void WatchedAttempt::ShortenDeadline(base::Time deadline) noexcept {
  deadline_ = std::min(deadline, deadline_.load());
}

void WatchedAttempt::Disarm() {
  const std::lock_guard lock(stop_mutex_);
  disarmed_ = true;
}

void WatchedAttempt::Check(base::Time now) {
  if (!armed_ || reason_ != StopReason::kNone) {
    return;
  }
  const StopReason due = Due(now);
  if (due == StopReason::kNone) {
    return;
  }
  // `stop` shuts down a socket, which does not block.
  const std::lock_guard lock(stop_mutex_);
  if (!disarmed_) {
    reason_ = due;
    options_.stop();
  }
}

StopReason WatchedAttempt::Due(base::Time now) const {
  if (now >= deadline_.load()) {
    return StopReason::kDeadline;
  }
  const base::Duration idle_time = now - last_activity_.load();
  if (idle_time >= options_.idle_timeout) {
    return StopReason::kIdleTimeout;
  }
  const bool cancelled = idle_time >= kCancelPollDelay && options_.cancelled &&
                         options_.cancelled();
  return cancelled ? StopReason::kCancelled : StopReason::kNone;
}

AttemptWatch::AttemptWatch(base::Clock clock,
                           base::Duration period,
                           std::function<void()> on_tick)
    : clock_(std::move(clock)),
      period_(period),
      on_tick_(std::move(on_tick)),
      thread_([this] { Loop(); }) {}

AttemptWatch::~AttemptWatch() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

std::shared_ptr<WatchedAttempt> AttemptWatch::Add(
    WatchedAttempt::Options options) {
  auto attempt = std::make_shared<WatchedAttempt>(std::move(options), clock_());
  const std::lock_guard lock(mutex_);
  attempts_.push_back(attempt);
  return attempt;
}

void AttemptWatch::Remove(const std::shared_ptr<WatchedAttempt>& attempt) {
  attempt->Disarm();
  const std::lock_guard lock(mutex_);
  const auto it = std::ranges::find(attempts_, attempt);
  if (it != attempts_.end()) {
    std::swap(*it, attempts_.back());
    attempts_.pop_back();
  }
}

void AttemptWatch::Loop() {
  std::unique_lock lock(mutex_);
  while (!wake_.wait_for(lock, period_, [this] { return ending_; })) {
    // Hooks are called without holding the lock.
    const std::vector<std::shared_ptr<WatchedAttempt>> attempts = attempts_;
    lock.unlock();
    const base::Time now = clock_();
    std::ranges::for_each(attempts, [now](const auto& a) { a->Check(now); });
    if (on_tick_) {
      on_tick_();
    }
    lock.lock();
  }
}

}  // namespace lynxglade::connection
