// planner_curve: compares the goodput by worth and the number of role changes
// of the planner, over a range of prices, with baselines on the same seeded
// traces.
#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <exception>
#include <functional>
#include <iostream>
#include <numeric>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "load/deployment.h"
#include "load/trace.h"
#include "planner/fluid_service.h"
#include "planner/policies.h"

namespace lynxglade::bench {
namespace {

constexpr std::array kPrices = {0.0,  2.0,   5.0,   10.0,  20.0,
                                50.0, 100.0, 200.0, 500.0, 1000.0};
constexpr std::array kOracleUsable = {0.85, 0.95, 1.05, 1.15};
constexpr std::array kOraclePrices = {0.0, 0.2, 0.5, 1.0, 2.0};
constexpr double kStepSeconds = 0.25;
constexpr int kStepsPerDecision = 4;
constexpr std::size_t kMostRequests = 1000000;

struct Settings {
  std::string deployment;
  double length_s = 480;
  int seeds = 10;
  int first_seed = 1;
  double load = 1;  // factor on the deployment's requests a second
  std::string start = "mixed";
  process::RolePlannerOptions
      planner;  // price and outage time are set by each run
};

// One run of one policy.
struct Outcome {
  double goodput = 0;
  double changes = 0;
};

struct Spread {
  double mean = 0;
  double deviation = 0;
  double least = 0;
  double most = 0;
};

Spread SpreadOf(const std::vector<double>& values) {
  const auto n = static_cast<double>(values.size());
  Spread spread;
  spread.mean = std::accumulate(values.begin(), values.end(), 0.0) / n;
  const double squares = std::accumulate(
      values.begin(), values.end(), 0.0, [&](double sum, double value) {
        return sum + (value - spread.mean) * (value - spread.mean);
      });
  spread.deviation = n > 1 ? std::sqrt(squares / (n - 1)) : 0;
  spread.least = *std::ranges::min_element(values);
  spread.most = *std::ranges::max_element(values);
  return spread;
}

// All mixed, or a third prefill and the rest decode.
process::RoleCounts StartSplit(const std::string& start, int engines) {
  if (start == "mixed") {
    return {0, 0, engines};
  }
  return {engines / 3, engines - engines / 3, 0};
}

FluidOptions MakeFluid(const EngineFleet& fleet, const std::string& start) {
  FluidOptions fluid;
  fluid.rates.prefill_tokens_per_s = fleet.prefill_tokens_per_s;
  fluid.rates.decode_tokens_per_s = fleet.decode_tokens_per_s;
  fluid.per_stream_tokens_per_s = fleet.stream_tokens_per_s;
  fluid.kv_tokens_per_s = fleet.kv_tokens_per_s;
  fluid.out_of_service_s = fleet.change_s + fleet.drain_s;
  fluid.initial = StartSplit(start, fleet.engines);
  return fluid;
}

Outcome RunOne(const FluidOptions& fluid,
               const std::vector<TraceItem>& trace,
               const Policy& policy) {
  FluidService service(fluid, trace);
  while (!service.idle()) {
    Offered offered;
    for (int i = 0; i < kStepsPerDecision; ++i) {
      const Offered step = service.Step(kStepSeconds);
      offered.prefill_tokens += step.prefill_tokens;
      offered.decode_tokens += step.decode_tokens;
      offered.worth += step.worth;
    }
    const auto change =
        policy(service, offered, kStepSeconds * kStepsPerDecision);
    if (change && !service.changing()) {
      service.StartChange(change->from, change->to);
    }
  }
  return {service.Goodput(), static_cast<double>(service.changes())};
}

class Comparison {
 public:
  Comparison(const Deployment& deployment, const Settings& settings)
      : deployment_(deployment), settings_(settings) {
    const auto length = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(settings.length_s));
    for (int i = 0; i < settings.seeds; ++i) {
      const int seed = settings.first_seed + i;
      traces_.push_back(MakeTrace(deployment, length, kMostRequests,
                                  static_cast<std::uint64_t>(seed)));
    }
  }

  // Runs a policy on all seeds; `make` creates a new policy for each.
  std::vector<Outcome> Run(const FluidOptions& fluid,
                           const std::function<Policy()>& make) const {
    std::vector<Outcome> outcomes;
    std::ranges::transform(traces_, std::back_inserter(outcomes),
                           [&](const std::vector<TraceItem>& trace) {
                             return RunOne(fluid, trace, make());
                           });
    return outcomes;
  }

  // Prints one row: goodput and changes with their spread, and the goodput
  // relative to the reference, paired by seed.
  void Print(const char* policy,
             double price,
             const std::vector<Outcome>& outcomes,
             const std::vector<Outcome>& reference) const {
    std::vector<double> goodput;
    std::vector<double> changes;
    std::vector<double> relative;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      goodput.push_back(outcomes[i].goodput);
      changes.push_back(outcomes[i].changes);
      relative.push_back(outcomes[i].goodput / reference[i].goodput);
    }
    const Spread g = SpreadOf(goodput);
    const Spread c = SpreadOf(changes);
    const Spread r = SpreadOf(relative);
    std::printf(
        "%-12s %6.0f  %7.4f %7.4f  %7.4f %7.4f  %6.1f %5.1f  %7.4f %7.4f\n",
        policy, price, g.mean, g.deviation, g.least, g.most, c.mean,
        c.deviation, r.mean, r.least);
  }

 private:
  const Deployment& deployment_;
  Settings settings_;
  std::vector<std::vector<TraceItem>> traces_;
};

// For each seed, the best of all oracle options and of making no change.
std::vector<Outcome> RunOracle(const Comparison& comparison,
                               const FluidOptions& fluid,
                               const Workload& workload,
                               double length_s) {
  std::vector<Outcome> best = comparison.Run(fluid, NeverChange);
  for (const double usable : kOracleUsable) {
    for (const double price_s : kOraclePrices) {
      const auto outcomes = comparison.Run(fluid, [&] {
        return Oracle(fluid, workload, length_s, {usable, price_s});
      });
      std::ranges::transform(best, outcomes, best.begin(),
                             [](const Outcome& a, const Outcome& b) {
                               return a.goodput >= b.goodput ? a : b;
                             });
    }
  }
  return best;
}

void Compare(const Deployment& deployment, const Settings& settings) {
  const Workload& workload = deployment.workload;
  const FluidOptions fluid = MakeFluid(deployment.fleet, settings.start);
  const Comparison comparison(deployment, settings);
  const auto oracle = RunOracle(comparison, fluid, workload, settings.length_s);
  std::printf("# %s, %d engines, start %s, load %.2f, %.0f s, %d seeds\n",
              deployment.name.c_str(), fluid.initial.total(),
              settings.start.c_str(), settings.load, settings.length_s,
              settings.seeds);
  std::printf(
      "# policy       price  goodput      sd    least    most  changes    sd  "
      "of_oracle least\n");
  comparison.Print("oracle", 0, oracle, oracle);
  comparison.Print("never", 0, comparison.Run(fluid, NeverChange), oracle);
  comparison.Print(
      "follower", 0,
      comparison.Run(fluid, [&] { return FollowLastMinute(fluid); }), oracle);
  FluidOptions fixed = fluid;
  fixed.initial = BestFixedSplit(fluid, workload, settings.length_s);
  comparison.Print("best_fixed", 0, comparison.Run(fixed, NeverChange), oracle);
  for (const double price : kPrices) {
    process::RolePlannerOptions options = settings.planner;
    options.price = base::Worth(price);
    options.out_of_service = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(fluid.out_of_service_s));
    comparison.Print(
        "planner", price,
        comparison.Run(fluid, [&] { return Planner(fluid, options); }), oracle);
  }
  std::printf("# best_fixed: prefill %d, decode %d, mixed %d\n",
              fixed.initial.prefill, fixed.initial.decode, fixed.initial.mixed);
}

int Main(int argc, char** argv) {
  try {
    TCLAP::CmdLine cmd("Compares role policies on a queue model.", ' ', "0.1");
    TCLAP::ValueArg<std::string> deployment(
        "", "deployment", "File of bench/deployments.", true, "", "path", cmd);
    TCLAP::ValueArg<double> length("", "seconds", "Length of a run.", false,
                                   480, "s", cmd);
    TCLAP::ValueArg<int> seeds("", "seeds", "Runs, each with the next seed.",
                               false, 10, "n", cmd);
    TCLAP::ValueArg<int> first_seed("", "first-seed", "First seed.", false, 1,
                                    "n", cmd);
    TCLAP::ValueArg<double> load("", "load",
                                 "Factor on the deployment's request rate.",
                                 false, 1, "x", cmd);
    std::vector<std::string> starts = {"mixed", "split"};
    TCLAP::ValuesConstraint<std::string> allowed(starts);
    TCLAP::ValueArg<std::string> start(
        "", "start", "Roles at first: all mixed, or 1:2 prefill to decode.",
        false, "mixed", &allowed, cmd);
    process::RolePlannerOptions planner;
    TCLAP::ValueArg<double> confidence("", "confidence",
                                       "The planner's confidence.", false,
                                       planner.confidence, "sd", cmd);
    TCLAP::ValueArg<int> trend_decay(
        "", "trend-life", "Seconds that the planner takes a trend to last.",
        false, 20, "s", cmd);
    cmd.parse(argc, argv);
    planner.confidence = confidence.getValue();
    planner.trend_decay = std::chrono::seconds(trend_decay.getValue());
    std::string error;
    auto loaded = LoadDeployment(deployment.getValue(), &error);
    if (!loaded || seeds.getValue() < 1) {
      std::cerr << (loaded ? "--seeds: 1 or more" : error) << "\n";
      return 2;
    }
    loaded->workload.requests_per_s *= load.getValue();
    Compare(*loaded, {.deployment = deployment.getValue(),
                      .length_s = length.getValue(),
                      .seeds = seeds.getValue(),
                      .first_seed = first_seed.getValue(),
                      .load = load.getValue(),
                      .start = start.getValue(),
                      .planner = planner});
    return 0;
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return 1;
  }
}

}  // namespace
}  // namespace lynxglade::bench

int main(int argc, char** argv) {
  return lynxglade::bench::Main(argc, argv);
}
