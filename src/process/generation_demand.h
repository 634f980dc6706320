// How many engines of a service are asked for by the answers that are being
// generated.
//
// An engine takes longer for each token the more answers it generates at a
// time, so large ones run into their time limit when too few engines generate.
// Answers under way are counted at the engines that generate, by what they
// report and what this instance has there, against the room that each has.
#ifndef LYNXGLADE_PROCESS_GENERATION_DEMAND_H_
#define LYNXGLADE_PROCESS_GENERATION_DEMAND_H_

#include <vector>

#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process {

struct GenerationDemandOptions {
  // Answers at a time that an engine is to generate, in parts of its slots.
  double max_slot_fill = 0.6;
  // The same in parts of its room, beyond which answers are refused: another
  // engine is asked for before that.
  double max_room_fill = 0.9;
  // Fewer engines are asked for only once so many times the answers would fit
  // them: a change back and forth costs two times three seconds of an engine.
  double scale_down_margin = 1.4;
  // Over which counts are averaged: answers last for seconds, and a swing of
  // the mix is over in five.
  base::Duration averaging_time = std::chrono::seconds(2);
  // Prompts that wait for longer on average want their engines themselves; a
  // reader is not taken away then, and one is given back if it can be spared.
  base::Duration max_backlog = std::chrono::milliseconds(40);
};

// Not thread-safe: lives on the event loop.
class GenerationDemand {
 public:
  // `room` may be empty: engines have room for as many answers as slots.
  explicit GenerationDemand(GenerationDemandOptions options = {},
                            request::passthrough::EngineCapacity room = {});
  GenerationDemand(const GenerationDemand&) = delete;
  GenerationDemand& operator=(const GenerationDemand&) = delete;

  // A service's engines now; `backlog`: how long a prompt would wait to be
  // read, on average. Call at least once a second.
  void Observe(const std::vector<request::passthrough::EngineHandle>& engines,
               base::Duration backlog,
               base::Time now);

  // Engines that should generate; as many as do while too little was seen.
  int DesiredEngines() const;

  // Answers under way, averaged.
  double answers() const noexcept { return answers_; }
  base::Duration backlog() const noexcept { return backlog_; }

 private:
  // Answers that an engine is to generate at a time.
  double TargetAnswers(const request::passthrough::Engine& engine,
                       base::Time now) const;

  const GenerationDemandOptions options_;
  const request::passthrough::EngineCapacity room_;
  base::Time first_observed_at_{};
  base::Time last_observed_at_{};
  double answers_ = 0;
  base::Duration backlog_{};
  // Of the last observation.
  int generating_engines_ = 0;
  // Answers that one is to generate, on average.
  double answers_per_engine_ = 1;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_GENERATION_DEMAND_H_
