// Estimates how many decode engines the offered answers of a service need.
//
// The time per token of an engine grows with the answers that it generates
// concurrently, so long answers exceed their time limit when too few engines
// decode. The answers at the decode engines are counted from the engines'
// reports and this instance's own requests, scaled up by the fraction that
// admission rejects, and compared with the capacity of each engine. Without the
// scaling the capacity of the present decode engines would limit the demand for
// more of them. Engines that name a request limit do not count as capacity:
// what they accept may be little, and the answers that they do not get are not
// seen.
#ifndef LYNXGLADE_PROCESS_STAGES_GENERATION_DEMAND_H_
#define LYNXGLADE_PROCESS_STAGES_GENERATION_DEMAND_H_

#include <vector>

#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process::stages {

struct GenerationDemandOptions {
  // Concurrent answers per engine, as a fraction of its slots.
  double max_slot_fill = 0.6;
  // The same as a fraction of its capacity. Below 1, so that another engine is
  // added before answers are rejected.
  double max_capacity_fill = 0.9;
  // The number of engines is reduced only if the remaining ones could take the
  // answers times this factor. Prevents flapping: each change takes an engine
  // out of service for about three seconds.
  double scale_down_margin = 1.4;
  // Upper limit of the scaling by rejected answers: rejected callers return and
  // are counted again.
  double max_offered_ratio = 2;
  // Time constant of the moving averages. Answers last for seconds, while the
  // mix of requests can change within five.
  base::Duration averaging_time = std::chrono::seconds(2);
  // With a longer average prefill backlog no prefill engine is moved to decode,
  // and a decode engine that can be spared is moved to prefill.
  base::Duration max_backlog = std::chrono::milliseconds(40);
};

// Not thread-safe: runs on the event loop.
class GenerationDemand {
 public:
  // `capacity` may be empty; an engine's capacity is then its number of slots.
  explicit GenerationDemand(GenerationDemandOptions options = {},
                            request::passthrough::EngineCapacity capacity = {});
  GenerationDemand(const GenerationDemand&) = delete;
  GenerationDemand& operator=(const GenerationDemand&) = delete;

  // Takes the current engines of the service, the average time that a prompt
  // would wait for prefill and the fraction of the answers that admission lets
  // through. Call at least once a second.
  void Observe(const std::vector<request::passthrough::EngineHandle>& engines,
               base::Duration backlog,
               double admitted_fraction,
               base::Time now);

  // The number of engines that should decode; the current number until
  // `averaging_time` has been observed.
  int DesiredEngines() const;

  // Moving average of the offered answers.
  double answers() const noexcept { return answers_; }
  base::Duration backlog() const noexcept { return backlog_; }

 private:
  // Concurrent answers that an engine should have.
  double TargetAnswers(const request::passthrough::Engine& engine,
                       base::Time now) const;

  const GenerationDemandOptions options_;
  const request::passthrough::EngineCapacity capacity_;
  base::Time first_observed_at_{};
  base::Time last_observed_at_{};
  double answers_ = 0;
  base::Duration backlog_{};
  // Decode engines at the last observation, and those of them that name a
  // request limit.
  int decode_engines_ = 0;
  int limited_engines_ = 0;
  // Mean of TargetAnswers() over the decode engines without a limit.
  double answers_per_engine_ = 1;
};

}  // namespace lynxglade::process::stages

#endif  // LYNXGLADE_PROCESS_STAGES_GENERATION_DEMAND_H_
