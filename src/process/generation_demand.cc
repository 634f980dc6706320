#include "process/generation_demand.h"

#include <algorithm>
#include <cmath>

namespace lynxglade::process {

namespace {

using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;
using request::passthrough::KnownLoad;

}  // namespace

GenerationDemand::GenerationDemand(GenerationDemandOptions options)
    : options_(options) {}

void GenerationDemand::Observe(const std::vector<EngineHandle>& engines,
                               base::Duration backlog,
                               base::Time now) {
  generating_ = 0;
  int answers = 0;
  for (const EngineHandle& engine : engines) {
    if (engine->entry.stage == EngineStage::kDecode &&
        !engine->entry.draining) {
      ++generating_;
      answers += KnownLoad(*engine, now);
      slots_ = std::max(engine->entry.slots, 1);
    }
  }
  // A backlog of minutes, or no reader at all, is not remembered for longer.
  constexpr int kMostBusy = 4;
  backlog = std::min(backlog, kMostBusy * options_.busy_backlog);
  if (first_at_ == base::Time{}) {
    first_at_ = now;
    answers_ = answers;
    backlog_ = backlog;
  }
  const double fade = std::exp(-base::ToFineMillis(now - last_at_) /
                               base::ToFineMillis(options_.memory));
  last_at_ = now;
  answers_ = fade * answers_ + (1 - fade) * answers;
  backlog_ = base::FromFineMillis(fade * base::ToFineMillis(backlog_) +
                                  (1 - fade) * base::ToFineMillis(backlog));
}

int GenerationDemand::Wanted() const {
  if (last_at_ - first_at_ < options_.memory) {
    return generating_;
  }
  const double asked = answers_ / (options_.most_filled * slots_);
  const bool readers_busy = backlog_ > options_.busy_backlog;
  if (asked > generating_ && !readers_busy) {
    return static_cast<int>(std::ceil(asked));
  }
  const int enough =
      static_cast<int>(std::ceil(asked * options_.margin_to_fewer));
  if (enough < generating_ && readers_busy) {
    return enough;
  }
  return generating_;
}

}  // namespace lynxglade::process
