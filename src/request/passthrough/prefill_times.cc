#include "request/passthrough/prefill_times.h"

#include <algorithm>
#include <array>

namespace lynxglade::request::passthrough {

namespace {

// Prompt sizes of the samples that the initial rates stand for; several, so
// that they determine a line.
constexpr std::array kInitialSampleTokens{500.0, 2'000.0, 10'000.0};
// Bounds the slope of a line fitted to noise.
constexpr double kMaxTokensPerMs = 5'000;
// Engines of one service differ by less.
constexpr double kMaxSlowness = 10;
// Part of its deviation from 1 that an engine's slowness loses with each
// prefill.
constexpr double kSlownessDecay = 0.01;

}  // namespace

PrefillTimes::PrefillTimes(PrefillTimesOptions options)
    : options_(options), default_service_(MakeService()) {}

void PrefillTimes::RecordPrefill(Engine& engine,
                                 std::int64_t tokens,
                                 base::Duration took) {
  Service& service = ServiceFor(engine.entry.service);
  const double size = std::max(static_cast<double>(tokens), 1.0);
  const double expected = Fit(service).At(size);
  const double ms =
      ClampOutlier(base::ToFineMillis(took), expected * engine.slowness);
  // The pull towards 1 keeps a common change of all engines out of their
  // slowness.
  engine.slowness +=
      options_.learning_rate * (ms / expected - engine.slowness) +
      kSlownessDecay * (1 - engine.slowness);
  engine.slowness = std::clamp(engine.slowness, 1 / kMaxSlowness, kMaxSlowness);
  const double level = ms / engine.slowness;
  service.prefill_ms.Decay(options_.decay);
  service.tokens_squared *= options_.decay;
  AddSample(service, size, level);
}

void PrefillTimes::AddSample(Service& service,
                             double tokens,
                             double ms) noexcept {
  service.prefill_ms.Add(tokens, ms, 1 / tokens);
  service.tokens_squared += tokens * tokens;
}

void PrefillTimes::RecordPrefillAfterFetch(const Engine& engine,
                                           std::int64_t tokens,
                                           base::Duration took) {
  Service& service = ServiceFor(engine.entry.service);
  const double rest =
      std::max(base::ToFineMillis(took) - PrefillMs(engine, tokens), 0.0);
  service.fetch_ms += options_.learning_rate *
                      (ClampOutlier(rest, service.fetch_ms) - service.fetch_ms);
}

void PrefillTimes::RecordHandover(const base::ServiceName& name,
                                  base::Duration took) {
  Service& service = ServiceFor(name);
  const double ms = ClampOutlier(base::ToFineMillis(took), service.handover_ms);
  service.handover_ms += options_.learning_rate * (ms - service.handover_ms);
}

double PrefillTimes::PrefillMs(const Engine& engine,
                               std::int64_t tokens) const {
  return engine.slowness *
         Fit(ServiceFor(engine.entry.service)).At(static_cast<double>(tokens));
}

double PrefillTimes::TokensPerMs(const Engine& engine) const {
  const Service& service = ServiceFor(engine.entry.service);
  const double mean = service.tokens() / service.prefills();
  return mean / (engine.slowness * Fit(service).At(mean));
}

double PrefillTimes::MeanRemainingTokens(const base::ServiceName& name) const {
  const Service& service = ServiceFor(name);
  return service.tokens_squared / std::max(service.tokens(), 1.0) / 2;
}

double PrefillTimes::FetchMs(const base::ServiceName& service) const {
  return ServiceFor(service).fetch_ms;
}

double PrefillTimes::HandoverMs(const base::ServiceName& service) const {
  return ServiceFor(service).handover_ms;
}

PrefillTimes::Service PrefillTimes::MakeService() const {
  Service service;
  for (const double size : kInitialSampleTokens) {
    AddSample(service, size, size / options_.initial_tokens_per_ms);
  }
  service.fetch_ms = options_.initial_fetch_ms;
  service.handover_ms = options_.initial_handover_ms;
  return service;
}

const PrefillTimes::Service& PrefillTimes::ServiceFor(
    const base::ServiceName& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? default_service_ : it->second;
}

PrefillTimes::Service& PrefillTimes::ServiceFor(
    const base::ServiceName& service) {
  return services_.try_emplace(service, default_service_).first->second;
}

Line PrefillTimes::Fit(const Service& service) noexcept {
  return service.prefill_ms.Fit(1 / kMaxTokensPerMs);
}

double PrefillTimes::ClampOutlier(double ms, double expected) const noexcept {
  return std::min(ms, options_.max_outlier_ratio * std::max(expected, 1.0));
}

}  // namespace lynxglade::request::passthrough
