// How many answers an engine generates at a time, so that large ones end within
// their time limit.
//
// An engine takes longer for each token the more answers it generates. Where it
// is filled, the largest answers run into their limit after seconds of work
// that is then worth nothing. So each engine is given only as many requests as
// let a large answer of every route end in time, by its own pace. What comes
// beyond is refused at once and told when to come back, whatever its size: an
// engine that goes on taking short answers slows down the long ones.
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
  // The part of its route's timeout in which a large answer is to end; the rest
  // is for the requests that come to its engine meanwhile.
  double timeout_fraction = 0.9;
  // Before an engine's pace is known, a token is taken to last for so long, in
  // milliseconds; and where a large answer would not end in time, an engine has
  // room for this part of its slots.
  double default_ms_per_token = 2;
  double default_capacity_fraction = 0.6;
  // A large answer is this many standard deviations of the logarithm of its
  // route's sizes above their mean: one in forty of a normal distribution is
  // larger.
  double large_deviations = 2;
  // Where there is not room for all, as large a part of the larger answers is
  // admitted as this times that of the smaller ones.
  double large_admission_ratio = 0.6;
  // An answer is among the larger ones of its route from so many standard
  // deviations above the mean on: the largest third of a normal distribution.
  double larger_deviations = 0.5;
  // The part of an engine's room that those may take which are ahead of their
  // share.
  double shared_capacity_fraction = 0.92;
  // What a request counts for in the shares after the next one.
  double share_decay = 0.95;
  // Requests of a route before their sizes are trusted; until then a large
  // answer is one of the size that callers take at most.
  double min_requests = 20;
  // Of the difference to what is believed of a route's sizes, the part that one
  // more request changes it by.
  double size_learning_rate = 0.02;
  // A route without a request for so long limits no engine.
  base::Duration route_ttl = std::chrono::seconds(10);
};

// What a request says of its answer.
struct RequestedAnswer {
  // Tokens; 0 for what the caller does not say.
  std::int64_t expected_tokens = 0;
  std::int64_t max_tokens = 0;
  // Its route's; the engine stops then.
  base::Duration timeout{};
};

// Not thread-safe: lives on the event loop.
class AnswerAdmission {
 public:
  explicit AnswerAdmission(const GenerationTimes& times,
                           AnswerAdmissionOptions options = {});
  AnswerAdmission(const AnswerAdmission&) = delete;
  AnswerAdmission& operator=(const AnswerAdmission&) = delete;

  // Whether the engine may be given a request that came on the route. Each call
  // counts as a request in the sizes and the shares of the route.
  bool Admit(const Engine& engine,
             const std::string& route,
             const RequestedAnswer& asked,
             base::Time now);

  // Requests that the engine is to have at most for the sake of all routes that
  // were asked for lately.
  double Capacity(const Engine& engine, base::Time now) const;

 private:
  // Requests of late, and those of them that were admitted.
  struct Share {
    double seen = 0;
    double admitted = 0;

    double Rate() const noexcept { return seen > 0 ? admitted / seen : 1; }
  };
  // The sizes asked for on one route.
  struct RouteSizes {
    double requests = 0;
    double mean_log = 0;
    double variance_log = 0;
    std::int64_t max_tokens = 0;
    base::Duration timeout{};
    base::Time last_at{};
    Share large;
    Share small;
  };

  RouteSizes& RecordRequest(const base::ServiceName& service,
                            const std::string& route,
                            const RequestedAnswer& asked,
                            base::Time now);
  // Among the larger ones of its route.
  bool IsLarge(const RouteSizes& sizes,
               const RequestedAnswer& asked) const noexcept;
  // Whether the larger or the smaller ones may take the last of the room.
  bool MayUseFullCapacity(const RouteSizes& sizes, bool large) const noexcept;
  std::int64_t LargeTokens(const RouteSizes& sizes) const noexcept;
  double CapacityFor(const Engine& engine, const RouteSizes& sizes) const;
  double DefaultCapacity(const Engine& engine,
                         std::int64_t tokens,
                         base::Duration within) const noexcept;

  const GenerationTimes& times_;
  const AnswerAdmissionOptions options_;
  std::map<base::ServiceName, std::map<std::string, RouteSizes>> routes_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_ADMISSION_H_
