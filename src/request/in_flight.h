// Accounts for one attempt in the load that this process has at a target.
#ifndef LYNXGLADE_REQUEST_IN_FLIGHT_H_
#define LYNXGLADE_REQUEST_IN_FLIGHT_H_

#include <memory>

#include "base/time.h"
#include "request/cost.h"
#include "request/target.h"

namespace lynxglade::request {

// Counts an attempt in Target::local_load from construction to destruction.
// Construct it right after the routing decision, before anything is sent, so
// that the next decision takes it into account. Not thread-safe.
class InFlight {
 public:
  InFlight(const Target& target, const Cost& cost, base::Time now);
  ~InFlight();
  InFlight(InFlight&& other) noexcept = default;
  InFlight& operator=(InFlight&& other) noexcept;
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

  // Call when the first token arrives: the prefill no longer counts.
  void OnPrefillDone() noexcept;

 private:
  void Release() noexcept;

  std::shared_ptr<LocalLoad> load_;
  Cost remaining_cost_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_IN_FLIGHT_H_
