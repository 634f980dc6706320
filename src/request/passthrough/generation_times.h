// How long engines take to generate, learnt from this instance's own streams.
//
// An engine takes longer for each event of a stream the more requests it has:
// slowness * (base + slope * requests). The line is common to a service's
// engines; an engine's slowness is what its events take against it. Callers
// state sizes in tokens, streams come in events: whole answers show how many
// tokens an event holds.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_GENERATION_TIMES_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_GENERATION_TIMES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/line_fit.h"

namespace lynxglade::request::passthrough {

struct GenerationTimesOptions {
  // What an event counts for after the next one.
  double decay = 0.999;
  // Events and whole answers that are seen before anything is foreseen.
  double min_events = 100;
  int min_answers = 3;
  // Answers of fewer events say too little of the tokens in an event.
  int min_events_per_answer = 8;
  // Of the difference to what is believed of an engine, the part that one more
  // event changes it by; and of the tokens in an event, one more answer.
  double engine_learning_rate = 0.03;
  double size_learning_rate = 0.02;
  // An event that took more than so many times what was expected met something
  // else, and counts as if it had taken so many times.
  double max_outlier_ratio = 2;
};

// Not thread-safe: lives on the event loop.
class GenerationTimes {
 public:
  explicit GenerationTimes(GenerationTimesOptions options = {});
  GenerationTimes(const GenerationTimes&) = delete;
  GenerationTimes& operator=(const GenerationTimes&) = delete;

  // An event of an answer came `took` after the one before, from an engine that
  // had so many requests.
  void RecordEvent(Engine& engine, int requests, base::Duration took);
  // A whole answer came in so many events; its caller had expected `tokens`.
  void RecordAnswerSize(const base::ServiceName& service,
                        std::int64_t tokens,
                        int events);

  // Requests with which the engine generates `tokens` in `within`: 1 at least,
  // its slots at most. Nothing while too little was seen.
  std::optional<int> MaxRequests(const Engine& engine,
                                 std::int64_t tokens,
                                 base::Duration within) const;

 private:
  struct Service {
    // Milliseconds for an event by requests at the engine.
    LineFit event_ms;
    int answers = 0;
    // Mean of the logarithm, as estimates are right at the median.
    double log_tokens_per_event = 0;
  };

  const GenerationTimesOptions options_;
  std::map<base::ServiceName, Service> services_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_GENERATION_TIMES_H_
