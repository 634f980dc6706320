// Limits the answers that an engine generates at a time, so that long answers
// finish within their timeout.
//
// An engine takes longer per token the more answers it generates. At full slots
// the longest answers would run into their timeout and the work would be
// wasted. Each engine therefore gets only as many requests as let a large
// answer of every route finish in time at its own pace. Further requests are
// rejected at once, also short ones, as these slow down long ones too. How
// large an answer is, and which part of the capacity a request may use, follows
// from how often requests of its size are served (served_sizes.h).
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/generation_times.h"

namespace lynxglade::request::passthrough {

struct AnswerAdmissionOptions {
  // Fraction of the route's timeout in which a large answer should finish; the
  // rest is a margin for requests that arrive at its engine meanwhile.
  double timeout_fraction = 0.9;
  // Assumptions before an engine's pace is known: milliseconds per token and,
  // if a large answer would not finish in time at that pace, the fraction of
  // its slots that an engine may fill.
  double default_ms_per_token = 2;
  double default_capacity_fraction = 0.6;
  // Requests of a route before its size statistics are used; until then the
  // size of a large answer is the caller's limit.
  double min_requests = 20;
  // Part of the difference to the current statistics by which a request changes
  // them.
  double size_learning_rate = 0.02;
  // Time constant of AdmittedFraction().
  base::Duration fraction_averaging_time = std::chrono::seconds(4);
  // Routes without a request for this long limit no engine.
  base::Duration route_ttl = std::chrono::seconds(10);
};

// What a request states about its answer.
struct RequestedAnswer {
  // In tokens; 0 if not stated.
  std::int64_t expected_tokens = 0;
  std::int64_t max_tokens = 0;
  // The route's timeout, after which the engine stops.
  base::Duration timeout{};
  // Part of the capacity that the request may use.
  double capacity_fraction = 1;
  // Requests that are being prefilled and will reach the engine, on average.
  double arriving = 0;
  // A large answer of the route is this many standard deviations above the mean
  // of the logarithms of its sizes.
  double deviations = 2;
};

// Not thread-safe: used on the event loop only.
class AnswerAdmission {
 public:
  explicit AnswerAdmission(const GenerationTimes& times,
                           AnswerAdmissionOptions options = {});
  AnswerAdmission(const AnswerAdmission&) = delete;
  AnswerAdmission& operator=(const AnswerAdmission&) = delete;

  // Whether the engine may be given a request of the route. Each call counts as
  // a request in the route's statistics.
  bool Admit(const Engine& engine,
             const std::string& route,
             const RequestedAnswer& answer,
             base::Time now);

  // Requests that the engine should have at most, for all recently used routes.
  double Capacity(const Engine& engine, base::Time now) const;

  // Moving average of the fraction of the service's requests that were
  // admitted; 1 without recent requests.
  double AdmittedFraction(const base::ServiceName& service,
                          base::Time now) const;

 private:
  // Exponentially decaying counts of a service's requests.
  struct Offered {
    double seen = 0;
    double admitted = 0;
    base::Time last_at{};
  };
  // Answer sizes requested on one route.
  struct RouteSizes {
    double requests = 0;
    double mean_log = 0;
    double variance_log = 0;
    std::int64_t max_tokens = 0;
    base::Duration timeout{};
    double deviations = 0;
    base::Time last_at{};
  };

  void RecordAdmission(const base::ServiceName& service,
                       bool admitted,
                       base::Time now);
  RouteSizes& RecordRequest(const base::ServiceName& service,
                            const std::string& route,
                            const RequestedAnswer& answer,
                            base::Time now);
  std::int64_t LargeTokens(const RouteSizes& sizes) const noexcept;
  double CapacityFor(const Engine& engine, const RouteSizes& sizes) const;
  double DefaultCapacity(const Engine& engine,
                         std::int64_t tokens,
                         base::Duration time_limit) const noexcept;

  const GenerationTimes& times_;
  const AnswerAdmissionOptions options_;
  std::map<base::ServiceName, std::map<std::string, RouteSizes>> routes_;
  std::map<base::ServiceName, Offered> offered_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
