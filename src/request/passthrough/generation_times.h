// Estimates generation times from this instance's own streams.
//
// An engine takes longer per stream event the more requests it has: slowness *
// (base + slope * requests). The line is common to a service's engines; an
// engine's slowness is the ratio of its own events to it. Callers state answer
// sizes in tokens while streams consist of events, so complete answers are used
// to estimate the tokens per event.
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
  // Weight of an event after the next one.
  double decay = 0.999;
  // Events and complete answers needed before there is an estimate.
  double min_events = 100;
  int min_answers = 3;
  // Answers with fewer events are not used to estimate the tokens per event.
  int min_events_per_answer = 8;
  // Part of the difference to the current estimate by which an event changes an
  // engine's slowness, and an answer the tokens per event.
  double engine_learning_rate = 0.03;
  double size_learning_rate = 0.02;
  // An event that took more than this many times the expected time was delayed
  // by something else, and is clamped to it.
  double max_outlier_ratio = 2;
};

// Not thread-safe: used on the event loop only.
class GenerationTimes {
 public:
  explicit GenerationTimes(GenerationTimesOptions options = {});
  GenerationTimes(const GenerationTimes&) = delete;
  GenerationTimes& operator=(const GenerationTimes&) = delete;

  // An event arrived `took` after the previous one of its answer, from an
  // engine that had `requests` requests.
  void RecordEvent(Engine& engine, int requests, base::Duration took);
  // A complete answer had `events` events; its caller had expected `tokens`.
  void RecordAnswerSize(const base::ServiceName& service,
                        std::int64_t tokens,
                        int events);

  // Tokens of an answer of `events` events; nothing while there are too few
  // samples.
  std::optional<std::int64_t> TokensOf(const base::ServiceName& service,
                                       int events) const;

  // Number of concurrent requests with which the engine generates `tokens`
  // within `within`: at least 1, at most its slots. Nothing while there are too
  // few samples.
  std::optional<int> MaxRequests(const Engine& engine,
                                 std::int64_t tokens,
                                 base::Duration within) const;
  // Tokens that the engine generates within `within` for one of `requests`
  // concurrent requests. Nothing while there are too few samples.
  std::optional<std::int64_t> MaxTokens(const Engine& engine,
                                        int requests,
                                        base::Duration within) const;

 private:
  struct Service {
    // Milliseconds per event by requests at the engine.
    LineFit event_ms;
    int answers = 0;
    // Mean of the logarithm, as callers' estimates are unbiased in the median.
    double log_tokens_per_event = 0;
  };

  // Null while there are too few samples.
  const Service* FindKnown(const base::ServiceName& service) const;

  const GenerationTimesOptions options_;
  std::map<base::ServiceName, Service> services_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_GENERATION_TIMES_H_
