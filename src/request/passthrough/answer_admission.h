// Limits the answers that an engine generates at a time, so that long answers
// finish within their timeout.
//
// An engine takes longer per token the more answers it generates. At full slots
// the longest answers would run into their timeout and the work would be
// wasted. Each engine therefore gets only as many requests as let a large
// answer of every route finish in time at its own pace. Further requests are
// rejected at once, also short ones, as these slow down long ones too. An
// answer that no engine could generate in time limits nothing. How large an
// answer is, and which part of the capacity a request may use, follows from how
// often requests of its size are served (served_shares.h).
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/random.h"
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
  // Where the large answers of a route would not finish in time even alone, the
  // fraction of its slots that an engine may fill at least.
  double min_capacity_fraction = 0.25;
  // Requests of a route from which the largest stated limit is taken; up to
  // twice as many.
  int limit_requests = 200;
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
  // A route that the request gives way to, if it needs emptier engines, and how
  // much, from 0 to 1.
  std::string yields_to = {};
  double yield = 0;
};

// Not thread-safe: used on the event loop only.
class AnswerAdmission {
 public:
  AnswerAdmission(const GenerationTimes& times,
                  base::RandomSource random,
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
    // The largest limit that a request of the current and of the previous
    // period stated, and the number of requests in the current one. A request's
    // own limit must not decide how much room it finds.
    std::int64_t max_tokens = 0;
    std::int64_t previous_max_tokens = 0;
    int limit_requests = 0;
    base::Duration timeout{};
    double deviations = 0;
    base::Time last_at{};

    std::int64_t Limit() const noexcept {
      return std::max(max_tokens, previous_max_tokens);
    }
  };

  // Whether an engine with `load` requests may have one more, if the request
  // may use a part of the capacity. Fractions of a place are granted by chance,
  // so that a part of a small capacity is served as well.
  bool HasRoom(double load, double fraction, double capacity) const;
  void RecordLimit(RouteSizes& sizes, std::int64_t max_tokens) const;
  void RecordAdmission(const base::ServiceName& service,
                       bool admitted,
                       base::Time now);
  RouteSizes& RecordRequest(const base::ServiceName& service,
                            const std::string& route,
                            const RequestedAnswer& answer,
                            base::Time now);
  std::int64_t LargeTokens(const RouteSizes& sizes) const noexcept;
  // The same, unless the engine could not generate that many in time alone.
  std::int64_t FeasibleTokens(const Engine& engine,
                              const RouteSizes& sizes,
                              base::Duration time_limit) const;
  double CapacityFor(const Engine& engine, const RouteSizes& sizes) const;
  // The capacity for the route's requests, less what it yields to another.
  double CapacityBeside(const Engine& engine,
                        const RouteSizes& sizes,
                        const RequestedAnswer& answer) const;
  double DefaultCapacity(const Engine& engine,
                         std::int64_t tokens,
                         base::Duration time_limit) const noexcept;

  const GenerationTimes& times_;
  const base::RandomSource random_;
  const AnswerAdmissionOptions options_;
  std::map<base::ServiceName, std::map<std::string, RouteSizes>> routes_;
  std::map<base::ServiceName, Offered> offered_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
