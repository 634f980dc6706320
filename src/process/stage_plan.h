// How many engines of a service read prompts and how many generate.
//
// A prefill engine reads a prompt at full speed and disturbs nobody; a decode
// engine reads at half speed between the tokens of the requests that it
// generates for. Generating needs far less of an engine than reading where
// prompts are long and answers short, so the split follows the work offered.
#ifndef LYNXGLADE_PROCESS_STAGE_PLAN_H_
#define LYNXGLADE_PROCESS_STAGE_PLAN_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process {

struct StagePlanOptions {
  // The part of a zone's engines that generate. Measured on the users' mixes,
  // which ask for 1,340 output tokens a second and 250,000 to 900,000 prompt
  // tokens: a quarter is several times what generating needs, and one more
  // engine a zone would be missed in reading.
  double decode_share = 0.25;
  // Engines of a zone that generate, where it has more than this: the loss of
  // one then leaves another in the zone.
  int least_decode = 2;
  // Zones of fewer engines do with one.
  int small_zone = 4;
  // Engines of a service that change at a time while requests are served.
  std::size_t most_at_once = 1;
};

struct StageChange {
  request::passthrough::EngineHandle engine;
  request::passthrough::EngineStage to =
      request::passthrough::EngineStage::kDecode;
};

// Engines of a zone that should generate, of `engines` there.
int DecodeEngines(int engines, const StagePlanOptions& options) noexcept;

// The changes that bring each zone of one service to its split, none of them
// to an engine that is leaving. Without requests (`idle`) all at once, else
// the first few.
std::vector<StageChange> PlanStages(
    const std::vector<request::passthrough::EngineHandle>& engines,
    bool idle,
    const StagePlanOptions& options);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_STAGE_PLAN_H_
