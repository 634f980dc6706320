// Plans how the engines of a service are split between prefill and decode.
//
// A prefill engine processes prompts at full speed. A decode engine processes
// them at half speed, interleaved with the tokens that it generates. Decoding
// slows down faster with load than prefill does, so the fastest engines are
// assigned to decode.
#ifndef LYNXGLADE_PROCESS_STAGES_STAGE_PLAN_H_
#define LYNXGLADE_PROCESS_STAGES_STAGE_PLAN_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process::stages {

struct StagePlanOptions {
  // Minimum fraction of a service's engines that decode.
  double decode_share = 0.25;
  // Minimum number of decode engines of a service that has more engines than
  // this, so that losing one leaves another.
  int min_decode_engines = 2;
  // Maximum fraction of decode engines while more engines can be taken into
  // use: with a fraction between this and `decode_share` none changes.
  double max_decode_share_with_spare = 0.75;
  // Engines of a service that change stage at a time while it is serving
  // requests.
  std::size_t max_concurrent_changes = 1;
};

struct StageChange {
  request::passthrough::EngineHandle engine;
  request::passthrough::EngineStage to =
      request::passthrough::EngineStage::kDecode;
};

// The number of a service's `engines` that should decode, by share alone.
int DecodeEngineCount(int engines, const StagePlanOptions& options) noexcept;

// Returns the changes that bring one service, and each of its zones in
// proportion, to the planned split; draining engines are left out. All changes
// if `idle`, else at most `max_concurrent_changes`. `demanded` is the number of
// decode engines that in-flight answers need; the larger of it and the share
// applies. `has_spare`: the service has engines that are not in use; taking
// these into use costs less than orders.
std::vector<StageChange> PlanStages(
    const std::vector<request::passthrough::EngineHandle>& engines,
    bool idle,
    const StagePlanOptions& options,
    int demanded = 0,
    bool has_spare = false);

}  // namespace lynxglade::process::stages

#endif  // LYNXGLADE_PROCESS_STAGES_STAGE_PLAN_H_
