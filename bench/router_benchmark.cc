// Time of a routing decision and of building the index at several table sizes.
// Half of the picks use a known prefix, half a new one.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "base/random.h"
#include "request/router.h"

namespace lynxglade::request {
namespace {

constexpr std::size_t kZones = 11;

std::shared_ptr<const TargetTable> MakeTable(std::size_t n, base::Time now) {
  auto table = std::make_shared<TargetTable>();
  for (std::size_t i = 0; i < n; ++i) {
    Target it;
    it.id = base::TargetId("engine-" + std::to_string(i));
    it.service = base::ServiceName("llm-restore");
    it.model = base::ModelName("restore-large");
    it.version = base::ModelVersion("2026-11-01");
    it.zone = base::ZoneId("zone-" + std::to_string(i % kZones));
    it.load.queued_prefill =
        base::Tokens(static_cast<std::int64_t>(1000 + 37 * (i % 50)));
    it.load.running_decode =
        base::Tokens(static_cast<std::int64_t>(500 + 11 * (i % 70)));
    it.load.prefill_tokens_per_s = 8000;
    it.load.decode_tokens_per_s = 800;
    it.load.as_of = now - std::chrono::seconds(2);
    it.local_load->running = 1;
    it.local_load->history.Record({base::Tokens(900), base::Tokens(200)},
                                  now - std::chrono::seconds(1));
    table->targets.push_back(std::move(it));
  }
  return table;
}

void Pick(benchmark::State& state) {
  const base::Time now = base::BootClock::now();
  const TargetIndex index(
      MakeTable(static_cast<std::size_t>(state.range(0)), now));
  RouterOptions options;
  // Local: only targets in the zone of the caller are candidates. Otherwise all
  // targets are, and a new prefix is compared with each.
  options.prefer_local_zone = state.range(1) != 0;
  const base::RandomSource random = base::SystemRandom();
  Router router(options, random);
  RouteQuery query;
  query.service = base::ServiceName("llm-restore");
  query.model = base::ModelName("restore-large");
  query.version = base::ModelVersion("2026-11-01");
  query.local_zone = base::ZoneId("zone-3");
  query.cost = {base::Tokens(2000), base::Tokens(300)};
  query.now = now;
  std::uint64_t n = 0;
  RouteError error{};
  for (auto _ : state) {
    ++n;
    query.prefix_hash = n % 2 == 0 ? n * 0x9e3779b97f4a7c15u : 77;
    benchmark::DoNotOptimize(router.Pick(index, query, &error));
  }
}
BENCHMARK(Pick)
    ->ArgNames({"targets", "zone_local"})
    ->ArgsProduct({{10, 100, 1100}, {1, 0}});

void BuildIndex(benchmark::State& state) {
  const base::Time now = base::BootClock::now();
  const auto table = MakeTable(static_cast<std::size_t>(state.range(0)), now);
  for (auto _ : state) {
    const TargetIndex index(table);
    benchmark::DoNotOptimize(&index);
  }
}
BENCHMARK(BuildIndex)->Arg(10)->Arg(100)->Arg(1100);

}  // namespace
}  // namespace lynxglade::request

BENCHMARK_MAIN();
