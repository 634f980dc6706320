// Goodput of contracts while another contract sends ten times its share,
// compared with each alone, with fair shares and with a single queue. Prints
// one JSON line per contract and run.
//
// Usage: admission_experiment [repetitions, default 5]

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "request/admission_model.h"

namespace lynxglade::request {
namespace {

const ModelContract kAlbums{"albums", 0.4, 0.36,
                            0.75,     2,   std::chrono::seconds(10)};
const ModelContract kNesting{"nesting", 0.3, 0.27,
                             0.25,      5,   std::chrono::seconds(10)};
const ModelContract kFlood{"flood", 0.3, 3.0, 0.5, 1, std::chrono::seconds(10)};

void Print(const std::string& scene,
           std::uint64_t seed,
           const AdmissionModelOptions& options) {
  const AdmissionModelResult result = RunAdmissionModel(options);
  for (const auto& [name, it] : result.contracts) {
    const nlohmann::json line = {
        {"scene", scene},
        {"seed", seed},
        {"contract", name},
        {"offered", it.offered},
        {"in_time", it.in_time},
        {"goodput", it.goodput / it.offered_worth},
        {"work", it.work},
        {"refused", it.refused},
        {"idle_while_waiting", result.idle_while_waiting}};
    std::cout << line.dump() << '\n';
  }
}

void Run(std::uint64_t seed) {
  AdmissionModelOptions options;
  options.seed = seed;
  for (const ModelContract& it : {kAlbums, kNesting, kFlood}) {
    options.contracts = {it};
    Print("alone", seed, options);
  }
  options.contracts = {kAlbums, kNesting, kFlood};
  Print("with_flood", seed, options);
  options.fair = false;
  Print("with_flood_one_line", seed, options);
}

}  // namespace
}  // namespace lynxglade::request

int main(int argc, char** argv) {
  const int repetitions = argc > 1 ? std::atoi(argv[1]) : 5;
  for (int i = 1; i <= repetitions; ++i) {
    lynxglade::request::Run(static_cast<std::uint64_t>(i));
  }
  return 0;
}
