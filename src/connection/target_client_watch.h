// Ends attempts on idle timeout, on deadline or when the caller cancelled.
//
// A thread that is blocked reading from a target cannot check these, so one
// watch thread checks all attempts. Private to TargetClient.
#ifndef LYNXGLADE_CONNECTION_TARGET_CLIENT_WATCH_H_
#define LYNXGLADE_CONNECTION_TARGET_CLIENT_WATCH_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/time.h"

namespace lynxglade::connection {

// Why the watch ended an attempt.
enum class StopReason { kNone, kDeadline, kIdleTimeout, kCancelled };

// One watched attempt. Created by AttemptWatch::Add(). Thread-safe.
class WatchedAttempt {
 public:
  struct Options {
    base::Time deadline{};
    base::Duration idle_timeout{};
    // Polled while the target sends nothing; may be empty.
    std::function<bool()> cancelled;
    // Shuts down the connection, so that the reading thread returns. Must not
    // block. Called at most once, on the watch thread.
    std::function<void()> stop;
  };

  WatchedAttempt(Options options, base::Time now);
  WatchedAttempt(const WatchedAttempt&) = delete;
  WatchedAttempt& operator=(const WatchedAttempt&) = delete;

  // Starts the checks; call once the connection is open.
  void Arm(base::Time now) noexcept;
  // Restarts the idle timeout; call when the target sent something.
  void Touch(base::Time now) noexcept;
  // Shortens the deadline; a later one than the current is ignored.
  void ShortenDeadline(base::Time deadline) noexcept;
  // `stop` is not called after this returns.
  void Disarm();

  // Calls `stop` if the attempt has to end.
  void Check(base::Time now);

  StopReason reason() const noexcept { return reason_; }

 private:
  StopReason Due(base::Time now) const;

  const Options options_;
  std::atomic<bool> armed_{false};
  std::atomic<base::Time> deadline_;
  std::atomic<base::Time> last_activity_;
  std::atomic<StopReason> reason_{StopReason::kNone};
  // Serializes calls of `stop` with Disarm().
  std::mutex stop_mutex_;
  bool disarmed_ = false;
};

// Checks all attempts on its own thread. Thread-safe.
class AttemptWatch {
 public:
  // `on_tick` is called once per period on the watch thread; may be empty.
  AttemptWatch(base::Clock clock,
               base::Duration period,
               std::function<void()> on_tick);
  ~AttemptWatch();
  AttemptWatch(const AttemptWatch&) = delete;
  AttemptWatch& operator=(const AttemptWatch&) = delete;

  std::shared_ptr<WatchedAttempt> Add(WatchedAttempt::Options options);
  // Calls Disarm() on the attempt and stops checking it.
  void Remove(const std::shared_ptr<WatchedAttempt>& attempt);

 private:
  void Loop();

  const base::Clock clock_;
  const base::Duration period_;
  const std::function<void()> on_tick_;

  std::mutex mutex_;
  std::condition_variable wake_;
  bool ending_ = false;
  std::vector<std::shared_ptr<WatchedAttempt>> attempts_;
  std::thread thread_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CLIENT_WATCH_H_
