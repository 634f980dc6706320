// Ends attempts that wait for a target for too long or for nobody.
//
// A thread that reads from a silent target cannot look at anything else, so
// one watching thread looks for all of them. Private to TargetClient.
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
enum class StopReason { kNone, kDeadline, kSilence, kCancelled };

// One attempt under watch. Made by AttemptWatch::Add.
class WatchedAttempt {
 public:
  struct Options {
    base::Time deadline{};
    base::Duration silence{};
    // Polled while the target is silent; may be empty.
    std::function<bool()> cancelled;
    // Breaks the connection, so that the reading thread returns. Must not
    // block. Called at most once.
    std::function<void()> stop;
  };

  WatchedAttempt(Options options, base::Time now);
  WatchedAttempt(const WatchedAttempt&) = delete;
  WatchedAttempt& operator=(const WatchedAttempt&) = delete;

  // The connection stands: from here on it may be broken.
  void Arm(base::Time now) noexcept;
  // The target gave a sign of life.
  void Touch(base::Time now) noexcept;
  // Brings the deadline forward.
  void EndBy(base::Time deadline) noexcept;
  // After this returns, `stop` is not called any more.
  void Retire();

  // Looks at the attempt and ends it where it is due.
  void Check(base::Time now);

  StopReason reason() const noexcept { return reason_; }

 private:
  StopReason Due(base::Time now) const;

  const Options options_;
  std::atomic<bool> armed_{false};
  std::atomic<base::Time> deadline_;
  std::atomic<base::Time> last_sign_;
  std::atomic<StopReason> reason_{StopReason::kNone};
  // Guards the call of `stop` against Retire().
  std::mutex stop_mutex_;
  bool retired_ = false;
};

// The watching thread. Thread-safe.
class AttemptWatch {
 public:
  // `on_tick` is called once a period on the watching thread; may be empty.
  AttemptWatch(base::Clock clock,
               base::Duration period,
               std::function<void()> on_tick);
  ~AttemptWatch();
  AttemptWatch(const AttemptWatch&) = delete;
  AttemptWatch& operator=(const AttemptWatch&) = delete;

  std::shared_ptr<WatchedAttempt> Add(WatchedAttempt::Options options);
  // Retires the attempt and forgets it.
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
