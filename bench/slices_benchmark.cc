// Compares algorithms that assign targets to owners: balance, movement relative
// to the minimum, and time. Prints a table; all values except times are
// deterministic.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "slices_placements.h"

namespace lynxglade::bench {
namespace {

constexpr int kSeeds = 20;

struct Size {
  int members;
  int targets;
};

// A set of members and targets. Ids are hashes, as real ids are random.
struct Fleet {
  Members members;
  Targets targets;
};

base::InstanceId MemberId(int seed, int i) {
  return base::InstanceId(base::ToHex(
      base::HashPair("member" + std::to_string(seed), std::to_string(i))));
}

base::TargetId TargetName(int seed, int i) {
  return base::TargetId("engine-" + std::to_string(seed) + "-" +
                        std::to_string(i));
}

Fleet MakeFleet(const Size& size, int seed) {
  Fleet fleet;
  for (int i = 0; i < size.members; ++i) {
    fleet.members.push_back({MemberId(seed, i), 1.0});
  }
  for (int i = 0; i < size.targets; ++i) {
    fleet.targets.push_back(TargetName(seed, i));
  }
  return fleet;
}

double MaxOverMean(const Fleet& fleet, const Owners& owners) {
  std::map<base::InstanceId, int> count;
  for (const auto& home : owners) {
    ++count[home];
  }
  const auto most = std::ranges::max_element(
      count, {}, [](const auto& entry) { return entry.second; });
  return most->second * static_cast<double>(fleet.members.size()) /
         static_cast<double>(owners.size());
}

// Number of targets present both before and after whose owner changed.
int Moved(const Fleet& before,
          const Owners& owners_before,
          const Fleet& after,
          const Owners& owners_after) {
  std::map<base::TargetId, base::InstanceId> old;
  for (std::size_t i = 0; i < before.targets.size(); ++i) {
    old.emplace(before.targets[i], owners_before[i]);
  }
  int moved = 0;
  for (std::size_t i = 0; i < after.targets.size(); ++i) {
    const auto it = old.find(after.targets[i]);
    moved += it != old.end() && it->second != owners_after[i] ? 1 : 0;
  }
  return moved;
}

// The index of a member in joining order, distributed over the seeds.
std::ptrdiff_t AnyIndex(const Fleet& fleet, int seed) {
  return static_cast<std::ptrdiff_t>(base::Hash64(std::to_string(seed)) %
                                     fleet.members.size());
}

struct Change {
  std::string name;
  std::function<void(Fleet*, int seed)> apply;
  // Minimum number of targets that must move, given the previous owners.
  std::function<double(const Fleet&, const Owners&)> least;
};

std::vector<Change> AllChanges() {
  const auto none = [](const Fleet&, const Owners&) { return 0.0; };
  return {
      {"member goes",
       [](Fleet* f, int seed) {
         f->members.erase(f->members.begin() + AnyIndex(*f, seed));
       },
       [](const Fleet& f, const Owners& owners) {
         return static_cast<double>(owners.size()) /
                static_cast<double>(f.members.size());
       }},
      {"member comes",
       [](Fleet* f, int seed) {
         f->members.push_back({MemberId(seed, 1 << 20), 1.0});
       },
       [](const Fleet& f, const Owners& owners) {
         return static_cast<double>(owners.size()) /
                static_cast<double>(f.members.size() + 1);
       }},
      {"weight doubles",
       [](Fleet* f, int seed) { f->members[AnyIndex(*f, seed)].weight = 2.0; },
       [](const Fleet& f, const Owners& owners) {
         const auto n = static_cast<double>(f.members.size());
         return static_cast<double>(owners.size()) * (2.0 / (n + 1) - 1.0 / n);
       }},
      {"1 in 18 targets goes",
       [](Fleet* f, int) {
         const auto n = f->targets.size() / 18;
         f->targets.erase(f->targets.begin(),
                          f->targets.begin() + static_cast<std::ptrdiff_t>(n));
       },
       none},
      {"1 in 18 targets more",
       [](Fleet* f, int seed) {
         const auto n = static_cast<int>(f->targets.size() / 18);
         for (int i = 0; i < n; ++i) {
           f->targets.push_back(TargetName(seed, (1 << 20) + i));
         }
       },
       none},
  };
}

void PrintBalance(const Placement& placement, const Size& size) {
  double sum = 0;
  double worst = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    const Fleet fleet = MakeFleet(size, seed);
    const double balance =
        MaxOverMean(fleet, placement.place(fleet.members, fleet.targets));
    sum += balance;
    worst = std::max(worst, balance);
  }
  std::printf(" %5.2f (%5.2f) |", sum / kSeeds, worst);
}

// Prints moved targets as a multiple of the minimum, or in percent where the
// minimum is 0.
void PrintMovement(const Placement& placement,
                   const Size& size,
                   const Change& change) {
  double moved = 0;
  double least = 0;
  double targets = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    const Fleet before = MakeFleet(size, seed);
    Fleet after = before;
    change.apply(&after, seed);
    const Owners owners = placement.place(before.members, before.targets);
    moved += Moved(before, owners, after,
                   placement.place(after.members, after.targets));
    least += change.least(before, owners);
    targets += static_cast<double>(before.targets.size());
  }
  if (least > 0) {
    std::printf(" %5.2fx |", moved / least);
  } else {
    std::printf(" %4.1f%%  |", 100 * moved / targets);
  }
}

void PrintTime(const Placement& placement, const Size& size) {
  const Fleet fleet = MakeFleet(size, 0);
  const int rounds = std::max(1, 200000 / size.targets);
  std::vector<double> samples;
  for (int i = 0; i < 5; ++i) {
    const auto start = std::chrono::steady_clock::now();
    for (int r = 0; r < rounds; ++r) {
      placement.place(fleet.members, fleet.targets);
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - start;
    samples.push_back(took.count() / rounds / size.targets);
  }
  std::ranges::sort(samples);
  std::printf(" %6.0f (%.0f-%.0f) |\n", samples[2], samples[0], samples[4]);
}

void PrintSize(const Size& size) {
  std::printf("\n%d members, %d targets, %d seeds\n\n", size.members,
              size.targets, kSeeds);
  std::printf("| placement | max/mean (worst) |");
  for (const Change& change : AllChanges()) {
    std::printf(" %s |", change.name.c_str());
  }
  std::printf(" ns a target, median of 5 (range) |\n|---|---|");
  for (std::size_t i = 0; i < AllChanges().size(); ++i) {
    std::printf("---|");
  }
  std::printf("---|\n");
  for (const Placement& placement : AllPlacements()) {
    std::printf("| %s |", placement.name.c_str());
    PrintBalance(placement, size);
    for (const Change& change : AllChanges()) {
      PrintMovement(placement, size, change);
    }
    PrintTime(placement, size);
  }
}

}  // namespace
}  // namespace lynxglade::bench

int main() {
  using lynxglade::bench::Size;
  for (const Size& size : {Size{7, 18}, Size{31, 1100}, Size{340, 12000}}) {
    lynxglade::bench::PrintSize(size);
  }
  return 0;
}
