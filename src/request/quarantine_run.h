// One attempt that is registered with the quarantine until it has ended.
#ifndef LYNXGLADE_REQUEST_QUARANTINE_RUN_H_
#define LYNXGLADE_REQUEST_QUARANTINE_RUN_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "request/quarantine.h"

namespace lynxglade::request {

// Ends without evidence about the content unless told otherwise.
class QuarantineRun {
 public:
  QuarantineRun(Quarantine& quarantine, base::Clock clock)
      : quarantine_(quarantine), clock_(std::move(clock)) {}
  ~QuarantineRun() {
    if (attempt_) {
      quarantine_.OnEnded(*attempt_, clock_());
    }
  }
  QuarantineRun(const QuarantineRun&) = delete;
  QuarantineRun& operator=(const QuarantineRun&) = delete;

  // Call before the first byte is sent. Returns why the content may not run at
  // the target, if so.
  std::optional<QuarantineDenial> Start(const RunIdentity& identity,
                                        const base::TargetId& target) {
    // Request ids are chosen by callers and need not be unique.
    static std::atomic<std::uint64_t> attempts = 0;
    const base::AttemptId attempt(std::to_string(++attempts));
    QuarantineDenial denial{};
    if (!quarantine_.TryStart(identity, target, attempt, clock_(), &denial)) {
      return denial;
    }
    attempt_ = attempt;
    return std::nullopt;
  }
  // The first part of the answer arrived.
  void OnAnswering() {
    if (attempt_) {
      quarantine_.OnAnswering(*attempt_, clock_());
    }
  }
  // The complete answer arrived.
  void OnDelivered() {
    if (const auto attempt = std::exchange(attempt_, std::nullopt)) {
      quarantine_.OnDelivered(*attempt, clock_());
    }
  }
  // The target broke the connection before the answer was complete.
  // `answering`: part of it had arrived.
  void OnLost(bool answering) {
    if (const auto attempt = std::exchange(attempt_, std::nullopt)) {
      quarantine_.OnLost(*attempt, clock_(), answering);
    }
  }

 private:
  Quarantine& quarantine_;
  const base::Clock clock_;
  std::optional<base::AttemptId> attempt_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_RUN_H_
