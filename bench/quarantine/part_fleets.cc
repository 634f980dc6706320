// Runs simulated fleets with parts of prompts that crash their engines, one for
// each seed, and prints those that exceed a bound, and the means of all.
//
//   part_fleets [--fleets N] [--seed N] [--instances N] [--engines N]
//               [--parts N] [--contents N] [--rate R] [--others R] [--mass N]
//               [--threads N] [--vary]
#include <algorithm>
#include <atomic>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <thread>
#include <vector>

#include <tclap/CmdLine.h>

#include "bench/quarantine/quarantine_fleet.h"
#include "request/passthrough/quarantine_options.h"

namespace lynxglade::bench {
namespace {

// Engines that a part may cost, requests that may be sent late, and the least
// that sound requests begin at the first attempt, against before.
constexpr int kMostLost = 5;
constexpr int kMostSentLate = 3;
constexpr double kLeastBegun = 0.9;

// Runs `n` fleets, a few at a time, from the first seed on.
std::vector<QuarantineFleetResult> RunAll(
    const QuarantineFleetSettings& settings,
    std::size_t n,
    unsigned threads) {
  std::vector<QuarantineFleetResult> results(n);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < n; i = next++) {
      QuarantineFleetSettings drawn = settings;
      drawn.seed += i;
      results[i] = RunQuarantineFleet(drawn);
    }
  };
  std::vector<std::jthread> workers;
  for (unsigned i = 0; i < threads; ++i) {
    workers.emplace_back(work);
  }
  workers.clear();
  return results;
}

void Print(const std::vector<QuarantineFleetResult>& results,
           const QuarantineFleetSettings& settings) {
  std::size_t lost = 0;
  std::size_t late = 0;
  std::size_t begun = 0;
  double engines = 0;
  double refused = 0;
  double harmless = 0;
  double condemned = 0;
  double marks = 0;
  int most = 0;
  for (std::size_t i = 0; i < results.size(); ++i) {
    const QuarantineFleetResult& it = results[i];
    const bool is_lost = it.most_engines_lost > kMostLost;
    const bool is_late = it.most_sent_late > kMostSentLate;
    const bool is_begun = it.least_begun_ratio < kLeastBegun;
    if (is_lost || is_late || is_begun) {
      std::printf("seed %" PRIu64
                  ": %d engines, %d late, begun %.2f, %d refused\n",
                  settings.seed + i, it.most_engines_lost, it.most_sent_late,
                  it.least_begun_ratio, it.harmless_refused);
    }
    lost += is_lost ? 1 : 0;
    late += is_late ? 1 : 0;
    begun += is_begun ? 1 : 0;
    engines += it.engines_lost;
    refused += it.harmless_refused;
    harmless += it.harmless;
    condemned += it.parts_condemned_wrongly;
    marks += it.marks_received;
    most = std::max(most, it.most_engines_lost);
  }
  const auto n = static_cast<double>(results.size());
  std::printf(
      "%zu fleets: %.2f engines a part, %d at most; %zu with over %d, %zu with "
      "over %d late, %zu begun below %.1f; %.1f of %.0f sound refused, %.2f "
      "sound parts condemned, %.0f marks\n",
      results.size(), engines / n / std::max(settings.crashing_parts, 1), most,
      lost, kMostLost, late, kMostSentLate, begun, kLeastBegun, refused / n,
      harmless / n, condemned / n, marks / n);
}

}  // namespace
}  // namespace lynxglade::bench

int main(int argc, char** argv) {
  using lynxglade::bench::QuarantineFleetSettings;
  try {
    TCLAP::CmdLine line("Drawn fleets with parts that crash engines");
    TCLAP::ValueArg<std::size_t> fleets("", "fleets", "Fleets", false, 100, "N",
                                        line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "N",
                                        line);
    TCLAP::ValueArg<int> instances("", "instances", "Instances", false, 7, "N",
                                   line);
    TCLAP::ValueArg<int> engines("", "engines", "Engines", false, 12, "N",
                                 line);
    TCLAP::ValueArg<int> parts("", "parts", "Parts that crash engines", false,
                               3, "N", line);
    TCLAP::ValueArg<int> contents("", "contents", "Contents that do", false, 0,
                                  "N", line);
    TCLAP::ValueArg<double> rate("", "rate", "Requests a second with each",
                                 false, 1.2, "R", line);
    TCLAP::ValueArg<double> others("", "others", "Other crashes a second",
                                   false, 0, "R", line);
    TCLAP::ValueArg<int> mass("", "mass", "Crashes of half of the engines",
                              false, 0, "N", line);
    TCLAP::ValueArg<unsigned> threads("", "threads", "Fleets at a time", false,
                                      4, "N", line);
    TCLAP::SwitchArg vary("", "vary", "Draws all that a part may vary in",
                          line);
    line.parse(argc, argv);
    const QuarantineFleetSettings settings{
        .instances = instances.getValue(),
        .engines = engines.getValue(),
        .options = lynxglade::request::passthrough::FleetQuarantineOptions(),
        .crashing_contents = contents.getValue(),
        .crashing_parts = parts.getValue(),
        .part_requests_per_second = rate.getValue(),
        .vary_parts = vary.getValue(),
        .other_crashes_per_second = others.getValue(),
        .mass_crashes = mass.getValue(),
        .seed = seed.getValue()};
    lynxglade::bench::Print(
        lynxglade::bench::RunAll(settings, fleets.getValue(),
                                 threads.getValue()),
        settings);
  } catch (const TCLAP::ArgException& e) {
    std::fprintf(stderr, "%s: %s\n", e.argId().c_str(), e.error().c_str());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
  return 0;
}
