// An instance's share of the retries that the whole fleet of instances may
// make.
//
// The platform counts, over all instances, the arrivals at a service's targets
// beyond the first of each request, in a sliding window: `ratio` times the
// requests for the service plus an allowance. An instance may spend what its
// own requests earn, plus its part of the allowance.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_RETRY_ALLOWANCE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_RETRY_ALLOWANCE_H_

#include <deque>
#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

struct RetryAllowanceOptions {
  // Of the fleet, as the platform states it.
  double ratio = 0.2;
  double allowance = 50;
  base::Duration window = std::chrono::seconds(10);
  // The part of both that is spent, so that instances whose windows or counts
  // disagree do not exceed the fleet's bound together.
  double safety = 0.8;
};

// Not thread-safe: lives on the event loop.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceOptions options);

  // A request for the service was taken from a caller.
  void OnRequest(const base::ServiceName& service, base::Time now);
  // Pays for so many more arrivals; false, and nothing is taken, if the share
  // does not cover them.
  bool TryTake(const base::ServiceName& service,
               int arrivals,
               int instances,
               base::Time now);
  // An arrival that could not be foreseen (a target rejected a side call).
  void Charge(const base::ServiceName& service, base::Time now);

 private:
  struct Window {
    std::deque<base::Time> requests;
    std::deque<base::Time> extra;
  };
  Window& Trimmed(const base::ServiceName& service, base::Time now);

  const RetryAllowanceOptions options_;
  std::map<base::ServiceName, Window> windows_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_RETRY_ALLOWANCE_H_
