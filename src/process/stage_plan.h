// How many engines of a service read prompts and how many generate.
//
// A prefill engine reads a prompt at full speed and disturbs nobody; a decode
// engine reads at half speed between the tokens of the requests that it
// generates for. Generating needs far less of an engine than reading where
// prompts are long and answers short, so the split follows the work offered.
// What an engine generates slows down with its load faster than its reading
// does, so the fastest engines known generate.
#ifndef LYNXGLADE_PROCESS_STAGE_PLAN_H_
#define LYNXGLADE_PROCESS_STAGE_PLAN_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process {

struct StagePlanOptions {
  // The part of a service's engines that generate at least.
  double decode_share = 0.25;
  // Engines of a service that generate, if it has more: the loss of one must
  // not leave a service without.
  int min_decode_engines = 2;
  // Engines of a service that change at a time while requests are served.
  std::size_t max_concurrent_changes = 1;
};

struct StageChange {
  request::passthrough::EngineHandle engine;
  request::passthrough::EngineStage to =
      request::passthrough::EngineStage::kDecode;
};

// Engines that should generate, of a service's `engines`.
int DecodeEngineCount(int engines, const StagePlanOptions& options) noexcept;

// The changes that bring one service to its split, each zone to its part of it,
// none of them to an engine that is leaving. Without requests (`idle`) all at
// once, else the first few. `wanted`: engines that the answers under way ask
// for, if these are more than the share.
std::vector<StageChange> PlanStages(
    const std::vector<request::passthrough::EngineHandle>& engines,
    bool idle,
    const StagePlanOptions& options,
    int demanded = 0);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_STAGE_PLAN_H_
