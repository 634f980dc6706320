#include "process/stages/generation_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lynxglade::process::stages {

namespace {

using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;
using request::passthrough::KnownLoad;

}  // namespace

GenerationDemand::GenerationDemand(
    GenerationDemandOptions options,
    request::passthrough::EngineCapacity capacity)
    : options_(options), capacity_(std::move(capacity)) {}

double GenerationDemand::TargetAnswers(
    const request::passthrough::Engine& engine,
    base::Time now) const {
  const double slots = std::max(engine.entry.slots, 1);
  const double capacity = capacity_ ? capacity_(engine, now) : slots;
  return std::min(options_.max_slot_fill * slots,
                  options_.max_capacity_fill * capacity);
}

void GenerationDemand::Observe(const std::vector<EngineHandle>& engines,
                               base::Duration backlog,
                               double admitted_fraction,
                               base::Time now) {
  decode_engines_ = 0;
  limited_engines_ = 0;
  double target_answers = 0;
  int in_flight = 0;
  for (const EngineHandle& engine : engines) {
    if (engine->entry.stage == EngineStage::kDecode &&
        !engine->entry.draining) {
      ++decode_engines_;
      in_flight += KnownLoad(*engine, now);
      if (engine->limit.named.rate()) {
        ++limited_engines_;
      } else {
        target_answers += TargetAnswers(*engine, now);
      }
    }
  }
  if (decode_engines_ > limited_engines_) {
    answers_per_engine_ =
        std::max(target_answers / (decode_engines_ - limited_engines_), 1.0);
  }
  const double answers =
      in_flight / std::max(admitted_fraction, 1 / options_.max_offered_ratio);
  // Capped, so that an extreme backlog (no prefill engine at all) does not
  // dominate the average for long.
  constexpr int kMaxBacklogFactor = 4;
  backlog = std::min(backlog, kMaxBacklogFactor * options_.max_backlog);
  if (first_observed_at_ == base::Time{}) {
    first_observed_at_ = now;
    answers_ = answers;
    backlog_ = backlog;
  }
  const double decay = std::exp(-base::ToFineMillis(now - last_observed_at_) /
                                base::ToFineMillis(options_.averaging_time));
  last_observed_at_ = now;
  answers_ = decay * answers_ + (1 - decay) * answers;
  backlog_ = base::FromFineMillis(decay * base::ToFineMillis(backlog_) +
                                  (1 - decay) * base::ToFineMillis(backlog));
}

int GenerationDemand::DesiredEngines() const {
  if (last_observed_at_ - first_observed_at_ < options_.averaging_time) {
    return decode_engines_;
  }
  const double needed = answers_ / answers_per_engine_;
  const bool prefill_busy = backlog_ > options_.max_backlog;
  if (needed + limited_engines_ > decode_engines_ && !prefill_busy) {
    return static_cast<int>(std::ceil(needed)) + limited_engines_;
  }
  const int enough =
      static_cast<int>(std::ceil(needed * options_.scale_down_margin)) +
      limited_engines_;
  if (enough < decode_engines_ && prefill_busy) {
    return enough;
  }
  return decode_engines_;
}

}  // namespace lynxglade::process::stages
