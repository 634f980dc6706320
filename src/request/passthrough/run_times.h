// Estimates when a target began to run a request that it has answered.
//
// A plain target does not tell when a queued request began. It is estimated
// from the end, by the average time of requests that met a free slot.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_RUN_TIMES_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_RUN_TIMES_H_

#include <algorithm>
#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

// Not thread-safe: used on the event loop only.
class RunTimes {
 public:
  RunTimes() = default;
  RunTimes(const RunTimes&) = delete;
  RunTimes& operator=(const RunTimes&) = delete;

  // Takes the time from send to answer of a request that met a free slot.
  void Record(const base::ServiceName& service, base::Duration took) {
    constexpr double kLearningRate = 0.05;
    const auto [it, is_first] = averages_.emplace(service, took.count());
    if (!is_first) {
      it->second +=
          kLearningRate * (static_cast<double>(took.count()) - it->second);
    }
  }

  // Average time; zero while nothing is known.
  base::Duration Average(const base::ServiceName& service) const {
    const auto it = averages_.find(service);
    return it == averages_.end()
               ? base::Duration::zero()
               : base::Duration(static_cast<base::Duration::rep>(it->second));
  }

  // The estimate, not before `sent`; `sent` while nothing is known.
  base::Time Began(const base::ServiceName& service,
                   base::Time sent,
                   base::Time answered) const {
    return averages_.contains(service)
               ? std::max(sent, answered - Average(service))
               : sent;
  }

 private:
  // Moving averages, in nanoseconds.
  std::map<base::ServiceName, double> averages_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_RUN_TIMES_H_
