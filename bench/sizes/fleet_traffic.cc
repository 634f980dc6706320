#include "bench/sizes/fleet_traffic.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <numbers>

#include "request/passthrough/served_shares.h"

namespace lynxglade::bench {

namespace {

using std::chrono::seconds;

constexpr double kHintSpread = 0.5;
constexpr double kLargestPart = 0.1;
constexpr double kLargePart = 0.2;
// A kind's limit on its answers, against the largest answer that is drawn.
constexpr double kKindLimitFactor = 10;

ServedCount CountServed(const std::vector<JobHandle>& jobs,
                        double from,
                        double to) {
  const auto n = static_cast<double>(jobs.size());
  const auto begin = jobs.begin() + static_cast<std::ptrdiff_t>(from * n);
  const auto end = jobs.begin() + static_cast<std::ptrdiff_t>(to * n);
  const auto served =
      std::count_if(begin, end, [](const JobHandle& it) { return it->served; });
  return {static_cast<std::size_t>(end - begin),
          static_cast<std::size_t>(served)};
}

KindResult SummariseKind(const std::string& name, std::vector<JobHandle> jobs) {
  std::ranges::sort(jobs, {}, [](const JobHandle& it) { return it->size; });
  KindResult result{
      name, CountServed(jobs, 0, 1), CountServed(jobs, 1 - kLargestPart, 1),
      CountServed(jobs, 1 - kLargestPart - kLargePart, 1 - kLargestPart)};
  const auto in_vain = std::ranges::count_if(
      jobs, [](const JobHandle& it) { return it->admitted && !it->served; });
  result.in_vain = static_cast<double>(in_vain) /
                   std::max(static_cast<double>(jobs.size()), 1.0);
  return result;
}

}  // namespace

std::vector<SizedKind> AlbumKinds() {
  return {
      {"album", 2, 36.2, seconds(5), 13'300, 3'720, 1.1, 53'200, 120, 1.4, 479},
      {"caption", 1, 24.9, seconds(3), 6'300, 2'890, 1, 39'600, 52, 1.4, 208},
      {"note", 0, 38.4, seconds(6), 350, 1'110, 1, 3'790, 172, 0.9, 601}};
}

std::vector<SizedKind> DraftKinds() {
  return {
      {"verdict", 0, 171, seconds(2), 6'300, 2'890, 1, 39'600, 63, 1.4, 252},
      {"draft", 1, 12.1, seconds(15), 79, 141, 0.8, 1'020, 3'790, 0.84, 8'946}};
}

FleetTraffic::FleetTraffic(const SizeFleetSettings& settings)
    : settings_(settings), random_(base::SeededRandom(settings.seed)) {}

std::vector<JobHandle> FleetTraffic::Arrivals(base::Time now,
                                              base::Duration length) {
  const std::size_t before = jobs_.size();
  for (std::size_t i = 0; i < settings_.kinds.size(); ++i) {
    const double expected = settings_.kinds[i].per_second * settings_.load *
                            base::ToFineMillis(length) / 1000;
    std::generate_n(std::back_inserter(jobs_), Poisson(expected),
                    [&] { return Draw(i, now); });
  }
  return {jobs_.begin() + static_cast<std::ptrdiff_t>(before), jobs_.end()};
}

double FleetTraffic::Normal() const {
  const double u = 1 - base::UniformReal(random_);
  return std::sqrt(-2 * std::log(u)) *
         std::cos(2 * std::numbers::pi * base::UniformReal(random_));
}

int FleetTraffic::Poisson(double expected) const {
  const double limit = std::exp(-expected);
  int n = 0;
  for (double p = base::UniformReal(random_); p > limit;
       p *= base::UniformReal(random_)) {
    ++n;
  }
  return n;
}

double FleetTraffic::LogNormal(double mean, double spread, double max) const {
  return std::min(mean * std::exp(spread * Normal() - spread * spread / 2),
                  max);
}

JobHandle FleetTraffic::Draw(std::size_t kind, base::Time now) const {
  using request::passthrough::RequestSize;
  const SizedKind& it = settings_.kinds[kind];
  auto job = std::make_shared<Job>();
  job->kind = kind;
  job->priority = it.priority;
  job->instance = base::UniformBelow(
      random_, static_cast<std::uint64_t>(settings_.instances));
  job->arrived = now;
  const double shared = LogNormal(it.shared_tokens, 0.5, 3 * it.shared_tokens);
  const double own = LogNormal(it.own_tokens, it.own_spread, it.own_max);
  job->prompt_tokens = shared + own;
  job->prefill_tokens =
      base::UniformReal(random_) < settings_.uncached ? shared + own : own;
  job->answer_tokens =
      1 + LogNormal(it.answer_tokens, it.answer_spread, it.answer_max);
  job->expected_tokens =
      std::llround(job->answer_tokens * std::exp(kHintSpread * Normal()));
  job->max_tokens =
      std::llround(settings_.own_limits ? job->answer_tokens
                                        : kKindLimitFactor * it.answer_max);
  job->size = RequestSize(std::llround(job->prompt_tokens),
                          std::llround(job->answer_tokens));
  return job;
}

double KindResult::WorstRatio() const noexcept {
  return all.served > 0 ? std::min(largest.Rate(), large.Rate()) / all.Rate()
                        : 1;
}

double KindResult::Shortfall(double ratio) const noexcept {
  return std::max(largest.Shortfall(ratio * all.Rate()),
                  large.Shortfall(ratio * all.Rate()));
}

double SizeFleetResult::WorstRatio() const noexcept {
  double worst = 1;
  for (const KindResult& it : kinds) {
    worst = std::min(worst, it.WorstRatio());
  }
  return worst;
}

double SizeFleetResult::KindShortfall(double ratio) const noexcept {
  ServedCount all;
  for (const KindResult& it : kinds) {
    all.requests += it.all.requests;
    all.served += it.all.served;
  }
  double most = 0;
  for (const KindResult& it : kinds) {
    most = std::max(most, it.all.Shortfall(ratio * all.Rate()));
  }
  return most;
}

SizeFleetResult Summarise(const std::vector<SizedKind>& kinds,
                          const std::vector<JobHandle>& jobs,
                          base::Time now) {
  std::vector<std::vector<JobHandle>> ended(kinds.size());
  double served = 0;
  double admitted = 0;
  double n = 0;
  for (const JobHandle& it : jobs) {
    if (it->arrived < now - kinds[it->kind].timeout) {
      ended[it->kind].push_back(it);
      ++n;
      served += it->served ? 1 : 0;
      admitted += it->admitted ? 1 : 0;
    }
  }
  SizeFleetResult result;
  result.served = served / std::max(n, 1.0);
  result.refused = 1 - admitted / std::max(n, 1.0);
  result.in_vain = (admitted - served) / std::max(n, 1.0);
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    result.kinds.push_back(SummariseKind(kinds[i].name, std::move(ended[i])));
  }
  return result;
}

}  // namespace lynxglade::bench
