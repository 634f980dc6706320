#include "request/passthrough/answer_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace lynxglade::request::passthrough {

namespace {

// Bounds memory where routes come and go.
constexpr base::Duration kSizesTtl = std::chrono::minutes(5);

double Slots(const Engine& engine) noexcept {
  return std::max(engine.entry.slots, 1);
}

double LogTokens(const RequestedAnswer& answer) noexcept {
  return std::log(static_cast<double>(answer.expected_tokens));
}

}  // namespace

AnswerAdmission::AnswerAdmission(const GenerationTimes& times,
                                 base::RandomSource random,
                                 AnswerAdmissionOptions options)
    : times_(times), random_(std::move(random)), options_(options) {}

bool AnswerAdmission::Admit(const Engine& engine,
                            const std::string& route,
                            const RequestedAnswer& answer,
                            base::Time now) {
  if (answer.expected_tokens <= 0 && answer.max_tokens <= 0) {
    return true;
  }
  RouteSizes& sizes = RecordRequest(engine.entry.service, route, answer, now);
  const double capacity = CapacityBeside(engine, sizes, answer);
  // A full engine rejects requests itself.
  const bool admitted =
      (capacity >= Slots(engine) && answer.capacity_fraction >= 1) ||
      HasRoom(KnownLoad(engine, now) + answer.arriving,
              answer.capacity_fraction, capacity);
  RecordAdmission(engine.entry.service, admitted, now);
  return admitted;
}

bool AnswerAdmission::HasRoom(double load,
                              double fraction,
                              double capacity) const {
  const double places = fraction * capacity;
  if (fraction >= 1) {
    return load < capacity;
  }
  const double whole = std::floor(places);
  return load < whole ||
         (load < whole + 1 && base::UniformReal(random_) < places - whole);
}

void AnswerAdmission::RecordLimit(RouteSizes& sizes,
                                  std::int64_t max_tokens) const {
  if (++sizes.limit_requests > options_.limit_requests) {
    sizes.previous_max_tokens = std::exchange(sizes.max_tokens, 0);
    sizes.limit_requests = 0;
  }
  sizes.max_tokens = std::max(sizes.max_tokens, max_tokens);
}

void AnswerAdmission::RecordAdmission(const base::ServiceName& service,
                                      bool admitted,
                                      base::Time now) {
  Offered& offered = offered_[service];
  const double decay =
      std::exp(-base::ToFineMillis(now - offered.last_at) /
               base::ToFineMillis(options_.fraction_averaging_time));
  offered.seen = decay * offered.seen + 1;
  offered.admitted = decay * offered.admitted + (admitted ? 1 : 0);
  offered.last_at = now;
}

double AnswerAdmission::AdmittedFraction(const base::ServiceName& service,
                                         base::Time now) const {
  // Of fewer requests the fraction is mostly chance.
  constexpr double kMinSeen = 4;
  const auto it = offered_.find(service);
  if (it == offered_.end() || it->second.seen < kMinSeen ||
      now - it->second.last_at > options_.fraction_averaging_time) {
    return 1;
  }
  return it->second.admitted / it->second.seen;
}

AnswerAdmission::RouteSizes& AnswerAdmission::RecordRequest(
    const base::ServiceName& service,
    const std::string& route,
    const RequestedAnswer& answer,
    base::Time now) {
  auto& routes = routes_[service];
  if (!routes.contains(route)) {
    std::erase_if(routes, [&](const auto& it) {
      return now - it.second.last_at > kSizesTtl;
    });
  }
  RouteSizes& sizes = routes[route];
  RecordLimit(sizes, answer.max_tokens);
  sizes.timeout = answer.timeout;
  sizes.deviations = answer.deviations;
  sizes.last_at = now;
  if (answer.expected_tokens > 0) {
    sizes.requests += 1;
    const double step =
        std::max(options_.size_learning_rate, 1 / sizes.requests);
    const double deviation = LogTokens(answer) - sizes.mean_log;
    sizes.mean_log += step * deviation;
    sizes.variance_log =
        (1 - step) * (sizes.variance_log + step * deviation * deviation);
  }
  return sizes;
}

double AnswerAdmission::Capacity(const Engine& engine, base::Time now) const {
  double capacity = Slots(engine);
  const auto service = routes_.find(engine.entry.service);
  if (service == routes_.end()) {
    return capacity;
  }
  for (const auto& [route, sizes] : service->second) {
    if (now - sizes.last_at <= options_.route_ttl) {
      capacity = std::min(capacity, CapacityFor(engine, sizes));
    }
  }
  return capacity;
}

std::int64_t AnswerAdmission::LargeTokens(
    const RouteSizes& sizes) const noexcept {
  const std::int64_t limit = sizes.Limit();
  if (sizes.requests < options_.min_requests && limit > 0) {
    return limit;
  }
  const double log_tokens =
      sizes.mean_log + sizes.deviations * std::sqrt(sizes.variance_log);
  const std::int64_t large = std::llround(std::exp(log_tokens));
  return limit > 0 ? std::min(large, limit) : large;
}

std::int64_t AnswerAdmission::FeasibleTokens(const Engine& engine,
                                             const RouteSizes& sizes,
                                             base::Duration time_limit) const {
  const std::int64_t large = LargeTokens(sizes);
  const auto alone = times_.MaxTokens(engine, 1, time_limit);
  if (!alone || large <= *alone) {
    return large;
  }
  const int requests = std::max(
      static_cast<int>(options_.min_capacity_fraction * Slots(engine)), 1);
  return times_.MaxTokens(engine, requests, time_limit).value_or(large);
}

double AnswerAdmission::CapacityFor(const Engine& engine,
                                    const RouteSizes& sizes) const {
  if (sizes.timeout <= base::Duration::zero()) {
    return Slots(engine);
  }
  const auto time_limit = std::chrono::duration_cast<base::Duration>(
      options_.timeout_fraction * sizes.timeout);
  const std::int64_t large = FeasibleTokens(engine, sizes, time_limit);
  const auto max_requests = times_.MaxRequests(engine, large, time_limit);
  return max_requests ? *max_requests
                      : DefaultCapacity(engine, large, time_limit);
}

double AnswerAdmission::CapacityBeside(const Engine& engine,
                                       const RouteSizes& sizes,
                                       const RequestedAnswer& answer) const {
  const double capacity = CapacityFor(engine, sizes);
  const auto& routes = routes_.at(engine.entry.service);
  const auto other = routes.find(answer.yields_to);
  if (answer.yield <= 0 || other == routes.end()) {
    return capacity;
  }
  const double needed = CapacityFor(engine, other->second);
  return std::lerp(capacity, std::min(capacity, needed), answer.yield);
}

double AnswerAdmission::DefaultCapacity(
    const Engine& engine,
    std::int64_t tokens,
    base::Duration time_limit) const noexcept {
  const double answer_ms =
      options_.default_ms_per_token * static_cast<double>(tokens);
  const bool in_time = answer_ms <= base::ToFineMillis(time_limit);
  return (in_time ? 1 : options_.default_capacity_fraction) * Slots(engine);
}

}  // namespace lynxglade::request::passthrough
