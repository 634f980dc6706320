// Long answers: how long they take, and when an engine has enough of them.
//
// An engine takes longer for each token the more answers it generates at a
// time. Long answers run into their time limit first, after seconds of work
// that is then worth nothing: with 60 at a time, two of three of the longest
// tenth did. So an engine is filled with them to a part of its slots; what
// comes beyond is refused at once and told when to come back.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

struct AnswerAdmissionOptions {
  // An answer is long if it is expected to take this part of the time that its
  // caller has left, or more.
  double long_part = 0.15;
  // Requests that an engine has, in parts of its slots, beyond which it gets no
  // further long answer. 0.6, 0.75 and none left 1, 2 and 4 of four days with
  // less than half as many of the longest tenth served as of all, and earned
  // 0.560, 0.571 and 0.570; together with engines that are added at the same
  // part 0 of four, and 0.553.
  double most_filled = 0.6;
};

// How long answers take, learnt from this instance's own. Not thread-safe:
// lives on the event loop.
class AnswerTimes {
 public:
  AnswerTimes() = default;
  AnswerTimes(const AnswerTimes&) = delete;
  AnswerTimes& operator=(const AnswerTimes&) = delete;

  // A whole answer whose caller had foreseen `tokens` took so long from its
  // first event to its last.
  void Learn(const base::ServiceName& service,
             std::int64_t tokens,
             base::Duration took);
  // Of an answer of about that size; nothing for one of unknown size (0).
  base::Duration Expected(const base::ServiceName& service,
                          std::int64_t tokens) const;

 private:
  std::map<base::ServiceName, double> ms_per_token_;
};

bool IsLongAnswer(base::Duration expected,
                  base::Duration time_left,
                  const AnswerAdmissionOptions& options) noexcept;

// Whether the engine has as many requests as leave long answers time to end.
bool IsFilled(const Engine& engine,
              base::Time now,
              const AnswerAdmissionOptions& options) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
