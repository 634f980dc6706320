// A queue model of one service for the comparison of role policies.
//
// Time advances in small steps. Requests are discrete and work is fluid: the
// prefill and mixed engines prefill prompts in order of arrival, the decode and
// mixed engines decode responses in order, each stream at its maximum rate at
// most. A request that can no longer meet its deadline is dropped. Routing,
// zones and faults are not modelled.
#ifndef LYNXGLADE_BENCH_PLANNER_FLUID_SERVICE_H_
#define LYNXGLADE_BENCH_PLANNER_FLUID_SERVICE_H_

#include <deque>
#include <optional>
#include <vector>

#include "load/trace.h"
#include "process/role_model.h"
#include "request/target.h"

namespace lynxglade::bench {

struct FluidOptions {
  process::EngineRates rates;
  // Maximum rate of one stream.
  double per_stream_tokens_per_s = 100;
  // Rate of KV cache transfer from a prefill to a decode engine.
  double kv_tokens_per_s = 200000;
  // Time that an engine is out of service for a role change.
  double out_of_service_s = 10;
  process::RoleCounts initial;
};

// Work offered during a step.
struct Offered {
  double prefill_tokens = 0;
  double decode_tokens = 0;
  double worth = 0;
};

class FluidService {
 public:
  // `trace` must outlive the service; only its chat requests are used.
  FluidService(const FluidOptions& options,
               const std::vector<TraceItem>& trace);

  // Advances the model by `seconds`; returns the work offered meanwhile.
  Offered Step(double seconds);
  // Takes an engine of role `from` out of service; it returns with role `to`.
  // Must not be called while changing().
  void StartChange(request::EngineRole from, request::EngineRole to);

  // Whether all requests have ended.
  bool idle() const noexcept;
  double now_s() const noexcept { return now_s_; }
  const process::RoleCounts& counts() const noexcept { return counts_; }
  bool changing() const noexcept { return change_to_.has_value(); }
  int changes() const noexcept { return changes_; }
  // Worth delivered in time divided by worth offered.
  double Goodput() const noexcept;

 private:
  struct Job {
    double ready_s = 0;  // end of the KV cache transfer; not decoded before
    double deadline_s = 0;
    double worth = 0;
    double prefill_left = 0;
    double decode_left = 0;
    double prompt = 0;
  };
  // Where answers are decoded.
  struct Pool {
    std::deque<Job> jobs;
  };
  // Shares of the time of the mixed engines.
  struct MixedShares {
    double prefill = 0;
    double decode = 0;
  };

  Offered TakeArrivals(double until_s);
  void EndChange();
  void DropMissedDeadlines(std::deque<Job>* jobs) const;
  MixedShares DivideMixed(double prefill_want, double decode_want) const;
  void Prefill(double budget);
  void StartDecode(Job job);
  void Decode(Pool* pool, double budget, double stream_budget);
  double DecodeDemand(const Pool& pool, double stream_budget) const;

  FluidOptions options_;
  const std::vector<TraceItem>& trace_;
  std::size_t next_ = 0;
  double now_s_ = 0;
  process::RoleCounts counts_;
  std::optional<request::EngineRole> change_to_;
  double change_ends_s_ = 0;
  int changes_ = 0;
  std::deque<Job> waiting_;
  // Moving average of the decode capacity that prefill leaves on mixed engines.
  double mixed_decode_capacity_ = 1;
  Pool decode_engines_;
  Pool mixed_engines_;
  double worth_offered_ = 0;
  double worth_delivered_ = 0;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_PLANNER_FLUID_SERVICE_H_
