// Prompts of the simulated fleet, drawn from a seed: routes with a first part
// each, subjects of very different frequency, further parts of some requests,
// and parts that crash the engines which begin an answer on them.
#ifndef LYNXGLADE_BENCH_QUARANTINE_DRAWN_PROMPTS_H_
#define LYNXGLADE_BENCH_QUARANTINE_DRAWN_PROMPTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "request/content_hash.h"

namespace lynxglade::bench {

// Parts by the high half of their hash.
enum PartKind : std::uint64_t {
  kFirstPart = 10,
  kSubjectPart = 11,
  kFurtherPart = 12,
  kCrashingPart = 13,
  kCompanionPart = 14,
};

// A part that crashes engines, and the requests that have it.
struct CrashingPart {
  request::ContentHash part;
  // Place among the shared parts. 0: it is the first part of a route of its
  // own.
  std::size_t position = 1;
  std::size_t route = 0;
  // Whether its requests come on all routes.
  bool on_any_route = false;
  // A part that each of its requests has as well, and few sound ones.
  std::optional<request::ContentHash> companion;
  double per_second = 1.2;
  // Its requests come from `begin` to `end`; they are sound before
  // `crashes_from`.
  base::Duration begin{};
  base::Duration crashes_from{};
  base::Duration end{};
  // That a run crashes its engine, and how long it runs before.
  double probability = 1;
  base::Duration crash_time{};
};

struct DrawnPromptsSettings {
  int crashing_parts = 0;
  // Of a part's requests; drawn from half to eight times as many if `vary`.
  double part_requests_per_second = 1.2;
  // Draws position, companions, times and chances too; otherwise each part is
  // the second one, and crashes from its first request on.
  bool vary = false;
  base::Duration length{};
  std::uint64_t seed = 1;
};

class DrawnPrompts {
 public:
  explicit DrawnPrompts(const DrawnPromptsSettings& settings);

  const std::vector<CrashingPart>& crashing() const noexcept {
    return crashing_;
  }
  // The shared parts of a sound request, and of one with a crashing part.
  std::vector<request::ContentHash> DrawSound();
  std::vector<request::ContentHash> DrawCrashing(const CrashingPart& part);

 private:
  CrashingPart DrawPart(const DrawnPromptsSettings& settings, int number);
  // From route `route`, without a crashing part.
  std::vector<request::ContentHash> DrawOnRoute(std::size_t route);
  double Real(double from, double to);
  bool Chance(double probability);

  const base::RandomSource random_;
  std::vector<CrashingPart> crashing_;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_QUARANTINE_DRAWN_PROMPTS_H_
