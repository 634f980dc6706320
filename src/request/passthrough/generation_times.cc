#include "request/passthrough/generation_times.h"

#include <algorithm>
#include <cmath>

namespace lynxglade::request::passthrough {

namespace {

// Part of its deviation from 1 that an engine's slowness loses with each event.
constexpr double kSlownessDecay = 0.0005;
constexpr double kMaxSlowness = 10;
// More requests never make an engine faster.
constexpr double kMinSlopeMs = 1e-6;

}  // namespace

GenerationTimes::GenerationTimes(GenerationTimesOptions options)
    : options_(options) {}

void GenerationTimes::RecordEvent(Engine& engine,
                                  int requests,
                                  base::Duration took) {
  LineFit& fit = services_[engine.entry.service].event_ms;
  const double n = std::max(requests, 1);
  double& slowness = engine.generation_slowness;
  double ms = base::ToFineMillis(took);
  if (fit.weight() >= options_.min_events) {
    const double expected = fit.Fit(kMinSlopeMs).At(n);
    ms = std::min(ms, options_.max_outlier_ratio * expected * slowness);
    slowness += options_.engine_learning_rate * (ms / expected - slowness) +
                kSlownessDecay * (1 - slowness);
    slowness = std::clamp(slowness, 1 / kMaxSlowness, kMaxSlowness);
  }
  fit.Decay(options_.decay);
  fit.Add(n, ms / slowness, 1);
}

void GenerationTimes::RecordAnswerSize(const base::ServiceName& name,
                                       std::int64_t tokens,
                                       int events) {
  if (tokens <= 0 || events < options_.min_events_per_answer) {
    return;
  }
  Service& service = services_[name];
  ++service.answers;
  const double step =
      std::max(options_.size_learning_rate, 1.0 / service.answers);
  const double seen = std::log(static_cast<double>(tokens) / events);
  service.log_tokens_per_event += step * (seen - service.log_tokens_per_event);
}

std::optional<std::int64_t> GenerationTimes::TokensOf(
    const base::ServiceName& name,
    int events) const {
  const auto it = services_.find(name);
  if (it == services_.end() || it->second.answers < options_.min_answers) {
    return std::nullopt;
  }
  return std::llround(events * std::exp(it->second.log_tokens_per_event));
}

std::optional<int> GenerationTimes::MaxRequests(const Engine& engine,
                                                std::int64_t tokens,
                                                base::Duration within) const {
  const Service* service = FindKnown(engine.entry.service);
  if (tokens <= 0 || !service) {
    return std::nullopt;
  }
  const double events =
      static_cast<double>(tokens) / std::exp(service->log_tokens_per_event);
  const double max_event_ms =
      base::ToFineMillis(within) / events / engine.generation_slowness;
  const Line line = service->event_ms.Fit(kMinSlopeMs);
  const double n = (max_event_ms - line.base) / line.slope;
  const double slots = std::max(engine.entry.slots, 1);
  return static_cast<int>(std::clamp(n, 1.0, slots));
}

std::optional<std::int64_t> GenerationTimes::MaxTokens(
    const Engine& engine,
    int requests,
    base::Duration within) const {
  const Service* service = FindKnown(engine.entry.service);
  if (!service) {
    return std::nullopt;
  }
  const double event_ms =
      engine.generation_slowness *
      service->event_ms.Fit(kMinSlopeMs).At(static_cast<double>(requests));
  return std::llround(base::ToFineMillis(within) / event_ms *
                      std::exp(service->log_tokens_per_event));
}

const GenerationTimes::Service* GenerationTimes::FindKnown(
    const base::ServiceName& name) const {
  const auto it = services_.find(name);
  const bool known = it != services_.end() &&
                     it->second.event_ms.weight() >= options_.min_events &&
                     it->second.answers >= options_.min_answers;
  return known ? &it->second : nullptr;
}

}  // namespace lynxglade::request::passthrough
