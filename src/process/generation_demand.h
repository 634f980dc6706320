// How many engines of a service are asked for by the answers that are being
// generated.
//
// An engine takes longer for each token the more answers it generates at a
// time, so long ones run into their time limit when too few engines generate:
// with 60 answers an engine, two of three of the longest tenth did. Answers
// under way are counted at the engines that generate, by what they report and
// what this instance has there.
#ifndef LYNXGLADE_PROCESS_GENERATION_DEMAND_H_
#define LYNXGLADE_PROCESS_GENERATION_DEMAND_H_

#include <vector>

#include "base/time.h"
#include "request/passthrough/answer_admission.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process {

struct GenerationDemandOptions {
  // Answers at a time that an engine is to generate, in parts of its slots.
  double most_filled =
      request::passthrough::AnswerAdmissionOptions().most_filled;
  // Fewer engines are asked for only once so many times the answers would fit
  // them: a change back and forth costs two times three seconds of an engine.
  double margin_to_fewer = 1.4;
  // Over which counts are averaged: answers last for seconds, and a swing of
  // the mix is over in five.
  base::Duration memory = std::chrono::seconds(2);
  // Prompts that wait for longer on average want their engines themselves; a
  // reader is not taken away then, and one is given back if it can be spared.
  base::Duration busy_backlog = std::chrono::milliseconds(40);
};

// Not thread-safe: lives on the event loop.
class GenerationDemand {
 public:
  explicit GenerationDemand(GenerationDemandOptions options = {});
  GenerationDemand(const GenerationDemand&) = delete;
  GenerationDemand& operator=(const GenerationDemand&) = delete;

  // A service's engines now; `backlog`: how long a prompt would wait to be
  // read, on average. Call at least once a second.
  void Observe(const std::vector<request::passthrough::EngineHandle>& engines,
               base::Duration backlog,
               base::Time now);

  // Engines that should generate; as many as do while too little was seen.
  int Wanted() const;

  // Answers under way, averaged.
  double answers() const noexcept { return answers_; }
  base::Duration backlog() const noexcept { return backlog_; }

 private:
  const GenerationDemandOptions options_;
  base::Time first_at_{};
  base::Time last_at_{};
  double answers_ = 0;
  base::Duration backlog_{};
  // Of the last observation.
  int generating_ = 0;
  int slots_ = 1;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_GENERATION_DEMAND_H_
