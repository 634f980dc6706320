#include "request/cost.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>

namespace lynxglade::request {

namespace {

// Bounds of an observed error of the prompt estimate.
constexpr double kMinPromptRatio = 0.25;
constexpr double kMaxPromptRatio = 4.0;

double Blend(double old_value, double new_value, double weight) noexcept {
  return old_value + weight * (new_value - old_value);
}

base::Tokens Rounded(double n) noexcept {
  return base::Tokens(static_cast<std::int64_t>(std::llround(n)));
}

}  // namespace

double WorkSeconds(const Cost& cost, const Rates& rates) noexcept {
  double seconds = 0;
  if (rates.prefill_tokens_per_s > 0) {
    seconds +=
        static_cast<double>(cost.prefill.value()) / rates.prefill_tokens_per_s;
  }
  if (rates.decode_tokens_per_s > 0) {
    seconds +=
        static_cast<double>(cost.decode.value()) / rates.decode_tokens_per_s;
  }
  return seconds;
}

std::size_t CostEstimator::KeyHash::operator()(const Key& key) const noexcept {
  const std::size_t a = std::hash<base::ContractId>()(key.contract);
  const std::size_t b = std::hash<base::ModelName>()(key.model);
  return a ^ (b + 0x9e3779b97f4a7c15u + (a << 6) + (a >> 2));
}

CostEstimator::CostEstimator(CostEstimatorOptions options)
    : options_(options) {}

Cost CostEstimator::Estimate(const Request& request) const {
  Averages averages{static_cast<double>(options_.initial_output.value()), 1.0};
  {
    const std::scoped_lock lock(mutex_);
    const auto it = averages_.find(Key{request.contract, request.model});
    if (it != averages_.end()) {
      averages = it->second;
    }
  }
  Cost cost;
  cost.prefill = Rounded(static_cast<double>(request.prompt_tokens.value()) *
                         averages.prompt_ratio);
  cost.decode = Rounded(averages.output);
  if (request.max_output_tokens.value() > 0) {
    cost.decode = std::min(cost.decode, request.max_output_tokens);
  }
  return cost;
}

void CostEstimator::Observe(const Request& request, const Cost& actual) {
  const std::scoped_lock lock(mutex_);
  const Key key{request.contract, request.model};
  auto it = averages_.find(key);
  if (it == averages_.end()) {
    if (averages_.size() >= options_.max_keys) {
      return;
    }
    const auto initial = static_cast<double>(options_.initial_output.value());
    it = averages_.emplace(key, Averages{initial, 1.0}).first;
  }
  Averages& averages = it->second;
  averages.output =
      Blend(averages.output, static_cast<double>(actual.decode.value()),
            options_.smoothing);
  if (request.prompt_tokens.value() > 0 && actual.prefill.value() > 0) {
    const double ratio =
        std::clamp(static_cast<double>(actual.prefill.value()) /
                       static_cast<double>(request.prompt_tokens.value()),
                   kMinPromptRatio, kMaxPromptRatio);
    averages.prompt_ratio =
        Blend(averages.prompt_ratio, ratio, options_.smoothing);
  }
}

}  // namespace lynxglade::request
