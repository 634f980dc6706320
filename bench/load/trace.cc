#include "load/trace.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/random.h"

namespace lynxglade::bench {

namespace {

// Standard deviation of the logarithm of the ratio of one request.
constexpr double kRatioSigma = 0.35;
constexpr std::int64_t kLeastTokens = 4;
constexpr std::int64_t kMostTokens = 16000;

base::Duration Seconds(double s) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(s));
}

// Samples requests from one generator in a fixed order, for reproducible
// traces.
class RequestSampler {
 public:
  RequestSampler(const Deployment& deployment, std::uint64_t seed)
      : deployment_(deployment), generator_(seed) {}

  double GapSeconds() {
    const double rate = deployment_.workload.requests_per_s;
    return std::exponential_distribution<double>(rate)(generator_);
  }

  TraceItem Draw(base::Duration at, std::size_t index) {
    const Workload& workload = deployment_.workload;
    const ContractLoad& contract = DrawContract();
    TraceItem item;
    item.at = at;
    item.seed = generator_();
    item.id = base::RequestId("req-" + std::to_string(index) + "-" +
                              base::ToHex(item.seed));
    item.contract = contract.id;
    item.worth = base::Worth(Uniform(contract.worth));
    item.deadline = Seconds(Uniform(contract.deadline_ms) / 1000);
    item.priority = contract.priority;
    item.kind = Chance(workload.plain_share) ? CallKind::kPlain  //
                                             : CallKind::kChat;
    item.non_idempotent = Chance(item.kind == CallKind::kPlain
                                     ? workload.plain_non_idempotent_share
                                     : workload.non_idempotent_share);
    item.repeated = Chance(workload.repeat_share) && item.non_idempotent;
    item.stream = !Chance(workload.whole_share);
    DrawTokens(&item);
    return item;
  }

 private:
  bool Chance(double p) { return Uniform({0, 1}) < p; }

  double Uniform(Interval range) {
    return std::uniform_real_distribution<double>(range.low,
                                                  range.high)(generator_);
  }

  const ContractLoad& DrawContract() {
    const auto& contracts = deployment_.contracts;
    const double total = std::accumulate(
        contracts.begin(), contracts.end(), 0.0,
        [](double sum, const ContractLoad& c) { return sum + c.traffic; });
    double left = Uniform({0, total});
    const auto it = std::ranges::find_if(contracts, [&](const ContractLoad& c) {
      return (left -= c.traffic) <= 0;
    });
    return it == contracts.end() ? contracts.back() : *it;
  }

  void DrawTokens(TraceItem* item) {
    const Workload& workload = deployment_.workload;
    std::normal_distribution<double> normal;
    const double sigma = workload.tokens_sigma;
    // The mean of a log-normal is exp(mu + sigma^2 / 2).
    const double total =
        workload.tokens_mean *
        std::exp(sigma * normal(generator_) - sigma * sigma / 2);
    const double ratio = RatioAt(workload, item->at) *
                         std::exp(kRatioSigma * normal(generator_));
    const auto bounded = [](double n) {
      return base::Tokens(
          std::clamp(static_cast<std::int64_t>(n), kLeastTokens, kMostTokens));
    };
    item->prompt = bounded(total * ratio / (1 + ratio));
    item->output = bounded(total / (1 + ratio));
    item->prefix_group = static_cast<int>(
        Uniform({0, static_cast<double>(workload.prefix_groups)}));
    item->shared_prefix = base::Tokens(static_cast<std::int64_t>(
        static_cast<double>(item->prompt.value()) * workload.prefix_share));
  }

  const Deployment& deployment_;
  std::mt19937_64 generator_;
};

// `n` words of three letters and a space: four bytes per token.
std::string Words(std::uint64_t seed, std::int64_t n) {
  constexpr std::uint64_t kLetters = 26;
  const base::RandomSource random = base::SeededRandom(seed);
  std::string text;
  text.reserve(static_cast<std::size_t>(n) * 4);
  for (std::int64_t i = 0; i < n; ++i) {
    std::uint64_t bits = random();
    for (int k = 0; k < 3; ++k, bits /= kLetters) {
      text += static_cast<char>('a' + bits % kLetters);
    }
    text += ' ';
  }
  return text;
}

}  // namespace

double RatioAt(const Workload& workload, base::Duration at) noexcept {
  const double s = std::chrono::duration<double>(at).count();
  const double phase =
      std::cos(std::numbers::pi * s / workload.swing_half_period_s);
  const double high = std::log(workload.ratio_high);
  const double low = std::log(workload.ratio_low);
  return std::exp((high + low) / 2 + phase * (high - low) / 2);
}

std::vector<TraceItem> MakeTrace(const Deployment& deployment,
                                 base::Duration length,
                                 std::size_t max_requests,
                                 std::uint64_t seed) {
  RequestSampler sampler(deployment, seed);
  std::vector<TraceItem> trace;
  base::Duration at = Seconds(sampler.GapSeconds());
  while (at < length && trace.size() < max_requests) {
    trace.push_back(sampler.Draw(at, trace.size()));
    at += Seconds(sampler.GapSeconds());
  }
  return trace;
}

std::string MakeBody(const Workload& workload, const TraceItem& item) {
  using nlohmann::json;
  if (item.kind == CallKind::kPlain) {
    return json{{"request", item.id.str()}, {"nonce", item.seed}}.dump();
  }
  const auto group_seed = static_cast<std::uint64_t>(item.prefix_group) + 1;
  const std::int64_t own = item.prompt.value() - item.shared_prefix.value();
  const json messages =
      json::array({{{"role", "system"},
                    {"content", Words(group_seed, item.shared_prefix.value())}},
                   {{"role", "user"}, {"content", Words(item.seed, own)}}});
  json body = {{"model", workload.model.str()},
               {"messages", messages},
               {"max_tokens", item.output.value()},
               {"stream", item.stream}};
  if (item.stream) {
    body["stream_options"] = {{"include_usage", true}};
  }
  return body.dump();
}

}  // namespace lynxglade::bench
