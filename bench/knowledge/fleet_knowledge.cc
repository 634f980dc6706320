// Cost of knowing the store's contents by role, and the time until all
// instances know a change, for fleets of several sizes. Prints tab-separated
// values: the phases are the start of all instances at once, an idle time, and
// the replacement of 45 % of the targets.
//
//   fleet_knowledge [instances:zones:targets]...
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "base/log.h"
#include "bench/knowledge/knowledge_fleet.h"

namespace lynxglade::bench {
namespace {

constexpr base::Duration kIdleTime = std::chrono::seconds(5);
constexpr base::Duration kRolloutTime = std::chrono::seconds(10);
constexpr double kReplacedFraction = 0.45;

double ProcessorSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) / 1e9;
}

// A row for each role: figures of one instance, the mean over the role.
void PrintCosts(const KnowledgeFleetSettings& size,
                const char* phase,
                double seconds,
                KnowledgeFleet& fleet) {
  for (const auto& [role, cost] : fleet.TakeCosts()) {
    const auto mean = [n = cost.instances](std::uint64_t total) {
      return static_cast<double>(total) / n;
    };
    std::printf(
        "%d\t%d\t%s\t%.1f\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
        size.instances, size.targets, phase, seconds,
        std::string(ToString(role)).c_str(), cost.instances,
        mean(cost.total.store_calls), mean(cost.total.store_bytes) / 1e3,
        mean(cost.total.relay_queries), mean(cost.total.relayed_in_bytes) / 1e3,
        mean(cost.total.relayed_out_bytes) / 1e3);
  }
}

void PrintDelay(const KnowledgeFleetSettings& size,
                const char* change,
                const KnowledgeDelay& delay) {
  std::printf("# %d\t%d\t%s\tmedian %lld ms\tlast %lld ms\n", size.instances,
              size.targets, change,
              static_cast<long long>(base::ToMillis(delay.median)),
              static_cast<long long>(base::ToMillis(delay.last)));
}

void Measure(const KnowledgeFleetSettings& size) {
  KnowledgeFleet fleet(size);
  const double before = ProcessorSeconds();
  const KnowledgeDelay start = fleet.Start();
  PrintCosts(size, "start", std::chrono::duration<double>(start.last).count(),
             fleet);
  PrintDelay(size, "start", start);
  fleet.RunFor(kIdleTime);
  fleet.TakeCosts();
  const double idle_before = ProcessorSeconds();
  fleet.RunFor(kIdleTime);
  const double idle = ProcessorSeconds() - idle_before;
  PrintCosts(size, "idle", std::chrono::duration<double>(kIdleTime).count(),
             fleet);
  fleet.ReplaceTargets(kReplacedFraction, kRolloutTime);
  PrintCosts(size, "rollout",
             std::chrono::duration<double>(kRolloutTime).count(), fleet);
  PrintDelay(size, "configuration", fleet.ChangeConfiguration());
  PrintDelay(size, "target gone", fleet.RemoveUsedTarget());
  std::printf(
      "# %d\t%d\ttargets used %zu\tprocessor idle %.3f ms/s an "
      "instance\tall %.1f s\n",
      size.instances, size.targets, fleet.most_used_targets(),
      1000 * idle / size.instances /
          std::chrono::duration<double>(kIdleTime).count(),
      ProcessorSeconds() - before);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  std::vector<KnowledgeFleetSettings> sizes;
  for (int i = 1; i < argc; ++i) {
    KnowledgeFleetSettings size;
    if (std::sscanf(argv[i], "%d:%d:%d", &size.instances, &size.zones,
                    &size.targets) != 3 ||
        size.instances < 1 || size.zones < 1 || size.targets < 1) {
      std::fprintf(stderr,
                   "usage: fleet_knowledge "
                   "[instances:zones:targets]...\n");
      return EXIT_FAILURE;
    }
    sizes.push_back(size);
  }
  if (sizes.empty()) {
    sizes = {{.instances = 100, .targets = 1000},
             {.instances = 300, .targets = 3000},
             {.instances = 985, .targets = 10'000},
             {.instances = 2000, .targets = 20'000}};
  }
  std::printf(
      "instances\ttargets\tphase\tseconds\trole\tof_role\tstore_calls"
      "\tstore_kb\trelay_queries\tin_kb\tout_kb\n");
  for (const KnowledgeFleetSettings& size : sizes) {
    Measure(size);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace lynxglade::bench

int main(int argc, char** argv) {
  lynxglade::base::InitLog(lynxglade::base::LogLevel::kError, "bench",
                           lynxglade::base::LogOutput::kStandardError);
  return lynxglade::bench::Main(argc, argv);
}
