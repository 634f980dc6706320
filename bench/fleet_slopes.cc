// Cost of target discovery for an instance by the number of targets: bytes of
// the instance list, CPU time to apply the list or a load report, to publish
// the routing index and to compute the slice of the instance, and memory. The
// results are used in docs/CAPACITY.md.
//
//   fleet_slopes [engines:instances:members of a zone]...
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/instance_list.h"
#include "connection/load_report.h"
#include "process/fleet_watch.h"
#include "process/target_registry.h"

namespace lynxglade {
namespace {

using nlohmann::json;

constexpr int kZones = 11;
constexpr int kModels = 11;
constexpr int kFirstPort = 20000;
constexpr int kPorts = 40000;
constexpr int kRepeats = 7;
constexpr double kMega = 1e6;

struct FleetSize {
  int engines = 0;
  int instances = 0;
  int members = 0;
};

// CPU time of one call in microseconds.
struct Cost {
  double lowest = 0;
  double median = 0;
  double highest = 0;
};

double ProcessorMicros() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) * kMega +
         static_cast<double>(ts.tv_nsec) / 1e3;
}

Cost Measure(const std::function<void()>& call) {
  std::vector<double> times(kRepeats);
  std::ranges::generate(times, [&] {
    const double start = ProcessorMicros();
    call();
    return ProcessorMicros() - start;
  });
  std::ranges::sort(times);
  return {times.front(), times[times.size() / 2], times.back()};
}

void Print(const char* what, const Cost& cost) {
  std::printf("  %-44s %9.0f us (%.0f-%.0f)\n", what, cost.median, cost.lowest,
              cost.highest);
}

std::string EngineId(int n) {
  return "engine-" + std::to_string(n);
}

std::string ZoneOf(int n) {
  return "zone-" + std::to_string(n % kZones);
}

json Row(const std::string& id, const char* kind, int n) {
  return {{"id", id},
          {"kind", kind},
          {"zone", ZoneOf(n)},
          {"address", "10.0." + std::to_string(n / 256 % 256) + "." +
                          std::to_string(n % 256)},
          {"port", kFirstPort + (n % kPorts)},
          {"state", "live"}};
}

std::string ListBody(const FleetSize& size) {
  json rows = json::array();
  for (int n = 0; n < size.engines; ++n) {
    json row = Row(EngineId(n), "engine", n);
    row["service"] = "llm-" + std::to_string(n / kZones % kModels);
    row["fenced"] = true;
    rows.push_back(std::move(row));
  }
  for (int n = 0; n < size.instances; ++n) {
    json row = Row("entry-" + std::to_string(n), "entry", n);
    row["peer_port"] = kFirstPort + (n % kPorts);
    rows.push_back(std::move(row));
  }
  return json{{"revision", 1}, {"instances", std::move(rows)}}.dump();
}

connection::LoadReport ReportOf(int n, std::uint64_t sequence) {
  connection::LoadReport report;
  report.target = base::TargetId(EngineId(n));
  report.incarnation = "incarnation-1";
  report.sequence = sequence;
  report.created_ms = static_cast<std::int64_t>(sequence);
  report.model =
      base::ModelName("model-" + std::to_string(n / kZones % kModels));
  report.version = base::ModelVersion("2026-12-01");
  report.load.prefill_tokens_per_s = 12000;
  report.load.decode_tokens_per_s = 1200;
  report.load.as_of = base::BootClock::now();
  return report;
}

std::size_t HeldBytes() {
  return mallinfo2().uordblks;
}

process::FleetWatchHooks Hooks(int members) {
  process::FleetWatchHooks hooks;
  hooks.fetch = [](const process::ListedTarget&) {
    return std::optional<connection::LoadReport>();
  };
  hooks.on_load = [](const connection::LoadReport&) {};
  hooks.publish = [](process::ViewItem) {};
  hooks.zone_members = [members] {
    std::vector<base::InstanceId> out;
    for (int n = 0; n < members; ++n) {
      out.emplace_back("entry-" + std::to_string(n * kZones));
    }
    return out;
  };
  hooks.clock = base::BootClock::now;
  return hooks;
}

// Applies one load report of every target, as after a start.
void ReportAll(int engines, process::TargetRegistry* registry) {
  for (int n = 0; n < engines; ++n) {
    registry->OnLoad(ReportOf(n, 1));
  }
}

void Run(const FleetSize& size) {
  const std::string body = ListBody(size);
  std::printf("%d engines, %d instances, %d members a zone: list %zu bytes\n",
              size.engines, size.instances, size.members, body.size());
  const std::size_t before = HeldBytes();
  base::Metrics metrics;
  connection::InstanceList list(
      [&](const std::string&) {
        return std::optional<connection::PlatformAnswer>({200, body});
      },
      base::BootClock::now);
  process::TargetRegistry registry;
  process::FleetWatch fleet({.instance = base::InstanceId("entry-0"),
                             .zone = base::ZoneId(ZoneOf(0)),
                             .poller = {}},
                            Hooks(size.members), list, registry, metrics);
  connection::PlatformError ec{};
  if (!list.Refresh(&ec)) {
    std::fprintf(stderr, "the list was not taken\n");
    std::exit(1);
  }
  registry.SetRows(*list.Get());
  const double first = ProcessorMicros();
  ReportAll(size.engines, &registry);
  std::printf("  %-44s %9.0f us\n", "all engines report for the first time",
              ProcessorMicros() - first);
  std::printf("  %-44s %9.1f MB\n", "held: list, registry, index",
              static_cast<double>(HeldBytes() - before) / kMega);
  Print("read the list", Measure([&] { list.Refresh(&ec); }));
  Print("take its rows, publish the index",
        Measure([&] { registry.SetRows(*list.Get()); }));
  std::uint64_t sequence = 1;
  Print("take one load report",
        Measure([&] { registry.OnLoad(ReportOf(0, ++sequence)); }));
  Print("take one load report, publish the index", Measure([&] {
          registry.OnLoad(ReportOf(0, ++sequence));
          registry.Publish();
        }));
  Print("copy the rows", Measure([&] { registry.Rows(); }));
  Print("copy the targets",
        Measure([&] { auto copy = registry.Index()->table().targets; }));
  std::size_t own = 0;
  Print("find the own slice", Measure([&] { own = fleet.OwnSlice().size(); }));
  std::printf("  own slice: %zu targets\n", own);
}

std::optional<FleetSize> ReadSize(const char* text) {
  FleetSize size;
  if (std::sscanf(text, "%d:%d:%d", &size.engines, &size.instances,
                  &size.members) == 3) {
    return size;
  }
  return std::nullopt;
}

}  // namespace
}  // namespace lynxglade

int main(int argc, char** argv) {
  using lynxglade::FleetSize;
  std::vector<FleetSize> sizes = {{18, 7, 3},
                                  {200, 64, 16},
                                  {1100, 31, 31},
                                  {4000, 113, 31},
                                  {12000, 340, 31}};
  if (argc > 1) {
    sizes.clear();
  }
  for (int i = 1; i < argc; ++i) {
    const auto size = lynxglade::ReadSize(argv[i]);
    if (!size) {
      std::fprintf(stderr, "fleet_slopes [engines:instances:members]...\n");
      return 2;
    }
    sizes.push_back(*size);
  }
  for (const FleetSize& size : sizes) {
    lynxglade::Run(size);
  }
  return 0;
}
