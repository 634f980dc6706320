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
  // The part of a zone's engines that generate: one of three or six, four of
  // 18, seven of 30. Measured on the users' mixes, which ask for about 12,000
  // output tokens a second and 250,000 to 900,000 prompt tokens: of six, one
  // earned 0.49 to 0.75 on four days and two 0.45 to 0.73; of 30, five earned
  // 0.38 and seven 0.43 on the day that loses most engines.
  double decode_share = 0.24;
  // Engines of a service that generate, if it has more: the loss of one must
  // not leave a service without.
  int least_decode = 2;
  // Engines of a service that change at a time while requests are served.
  std::size_t most_at_once = 1;
};

struct StageChange {
  request::passthrough::EngineHandle engine;
  request::passthrough::EngineStage to =
      request::passthrough::EngineStage::kDecode;
};

// Engines of a zone that should generate, of `engines` there, in a service of
// so many zones.
int DecodeEngines(int engines,
                  int zones,
                  const StagePlanOptions& options) noexcept;

// The changes that bring each zone of one service to its split, none of them
// to an engine that is leaving. Without requests (`idle`) all at once, else
// the first few.
std::vector<StageChange> PlanStages(
    const std::vector<request::passthrough::EngineHandle>& engines,
    bool idle,
    const StagePlanOptions& options);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_STAGE_PLAN_H_
