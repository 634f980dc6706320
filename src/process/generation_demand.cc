#include "process/generation_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lynxglade::process {

namespace {

using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;
using request::passthrough::KnownLoad;

}  // namespace

GenerationDemand::GenerationDemand(GenerationDemandOptions options,
                                   request::passthrough::EngineCapacity room)
    : options_(options), room_(std::move(room)) {}

double GenerationDemand::Target(const request::passthrough::Engine& engine,
                                base::Time now) const {
  const double slots = std::max(engine.entry.slots, 1);
  const double room = room_ ? room_(engine, now) : slots;
  return std::min(options_.max_slot_fill * slots,
                  options_.max_room_fill * room);
}

void GenerationDemand::Observe(const std::vector<EngineHandle>& engines,
                               base::Duration backlog,
                               base::Time now) {
  generating_ = 0;
  double targets = 0;
  int answers = 0;
  for (const EngineHandle& engine : engines) {
    if (engine->entry.stage == EngineStage::kDecode &&
        !engine->entry.draining) {
      ++generating_;
      answers += KnownLoad(*engine, now);
      targets += Target(*engine, now);
    }
  }
  if (generating_ > 0) {
    target_ = std::max(targets / generating_, 1.0);
  }
  // A backlog of minutes, or no reader at all, is not remembered for longer.
  constexpr int kMostBusy = 4;
  backlog = std::min(backlog, kMostBusy * options_.max_backlog);
  if (first_at_ == base::Time{}) {
    first_at_ = now;
    answers_ = answers;
    backlog_ = backlog;
  }
  const double fade = std::exp(-base::ToFineMillis(now - last_at_) /
                               base::ToFineMillis(options_.averaging_time));
  last_at_ = now;
  answers_ = fade * answers_ + (1 - fade) * answers;
  backlog_ = base::FromFineMillis(fade * base::ToFineMillis(backlog_) +
                                  (1 - fade) * base::ToFineMillis(backlog));
}

int GenerationDemand::DesiredEngines() const {
  if (last_at_ - first_at_ < options_.averaging_time) {
    return generating_;
  }
  const double asked = answers_ / target_;
  const bool readers_busy = backlog_ > options_.max_backlog;
  if (asked > generating_ && !readers_busy) {
    return static_cast<int>(std::ceil(asked));
  }
  const int enough =
      static_cast<int>(std::ceil(asked * options_.scale_down_margin));
  if (enough < generating_ && readers_busy) {
    return enough;
  }
  return generating_;
}

}  // namespace lynxglade::process
