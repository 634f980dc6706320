// The request rate that a target accepts from all instances together, as stated
// in its answers.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_NAMED_LIMIT_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_NAMED_LIMIT_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "base/units.h"

namespace lynxglade::request::passthrough {

// What one answer states about the target's limit.
struct LimitStatement {
  enum class Kind {
    // The answer names no limit.
    kNone,
    kNamed,
    // There is a limit, but its value cannot be read.
    kMalformed,
  };

  Kind kind = Kind::kNone;
  // Valid if kNamed; at least 0.
  base::PerSecond rate;
  // The unreadable value, truncated, for the log.
  std::string malformed_value;
};

// When the request of an answer was sent, and when the answer was received.
struct AnswerTimes {
  base::Time sent_at{};
  base::Time received_at{};
};

// The limit in force at one lifetime of a target.
//
// Answers may arrive in another order than the target wrote them. A limit is
// therefore raised or ended only by an answer to a request that was sent after
// the limit was last received, and named or lowered only by an answer to a
// request that was not sent before the one whose answer raised or ended it.
// Not thread-safe.
class NamedLimit {
 public:
  enum class Change { kNone, kNamed, kRaised, kLowered, kEnded };

  // A malformed statement keeps the limit in force; without one it is a limit
  // of 0.
  Change Observe(const LimitStatement& statement, const AnswerTimes& times);

  const std::optional<base::PerSecond>& rate() const noexcept { return rate_; }
  // The newest answer that named the limit in force.
  base::Time received_at() const noexcept { return received_at_; }

 private:
  Change ObserveRate(base::PerSecond rate, const AnswerTimes& times);

  std::optional<base::PerSecond> rate_;
  base::Time received_at_{};
  // When the request was sent whose answer last raised or ended the limit.
  base::Time relaxed_by_{};
};
std::string_view ToString(NamedLimit::Change change) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_NAMED_LIMIT_H_
