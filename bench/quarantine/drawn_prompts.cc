#include "bench/quarantine/drawn_prompts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lynxglade::bench {

namespace {

using request::ContentHash;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRoutes = 3;
constexpr double kSubjects = 300;
constexpr std::uint64_t kFurtherParts = 200;
constexpr double kFurtherShare = 0.4;
// Share of the sound requests that have a given companion.
constexpr double kCompanionShare = 0.01;
constexpr base::Duration kSeriesLength = seconds(15);

}  // namespace

DrawnPrompts::DrawnPrompts(const DrawnPromptsSettings& settings)
    : random_(base::SeededRandom(settings.seed ^ 0x9e3779b97f4a7c15)) {
  for (int i = 0; i < settings.crashing_parts; ++i) {
    crashing_.push_back(DrawPart(settings, i));
  }
}

CrashingPart DrawnPrompts::DrawPart(const DrawnPromptsSettings& settings,
                                    int number) {
  CrashingPart it;
  const auto n = static_cast<std::uint64_t>(number);
  it.part = ContentHash(kCrashingPart, n);
  it.route = base::UniformBelow(random_, kRoutes);
  it.per_second = settings.part_requests_per_second;
  it.crash_time = milliseconds(80);
  it.begin =
      seconds(5) + settings.length * number / (settings.crashing_parts + 1);
  it.end = it.begin + kSeriesLength;
  it.crashes_from = it.begin;
  if (!settings.vary) {
    return it;
  }
  it.position = base::UniformBelow(random_, 4);
  it.on_any_route = it.position > 0 && Chance(0.25);
  if (Chance(0.3)) {
    it.companion = ContentHash(kCompanionPart, n);
  }
  it.per_second *= std::exp2(Real(-1, 3));
  it.begin = std::chrono::duration_cast<base::Duration>(Real(0.1, 0.5) *
                                                        settings.length);
  it.end = it.begin + std::chrono::duration_cast<base::Duration>(
                          Real(0.25, 0.5) * settings.length);
  it.crashes_from = it.begin + (Chance(0.3) ? seconds(5) : seconds(0));
  it.probability = Chance(0.7) ? 1 : Real(0.5, 1);
  it.crash_time = milliseconds(static_cast<int>(Real(5, 350)));
  return it;
}

std::vector<ContentHash> DrawnPrompts::DrawSound() {
  auto parts = DrawOnRoute(base::UniformBelow(random_, kRoutes));
  for (const CrashingPart& it : crashing_) {
    if (it.companion && Chance(kCompanionShare)) {
      parts.push_back(*it.companion);
    }
  }
  return parts;
}

std::vector<ContentHash> DrawnPrompts::DrawCrashing(const CrashingPart& part) {
  auto parts = DrawOnRoute(
      part.on_any_route ? base::UniformBelow(random_, kRoutes) : part.route);
  if (part.position == 0) {
    parts.front() = part.part;
  } else {
    const std::size_t at = std::min(part.position, parts.size());
    parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(at), part.part);
  }
  if (part.companion) {
    parts.push_back(*part.companion);
  }
  return parts;
}

// The n-th subject is asked for in proportion to 1/n.
std::vector<ContentHash> DrawnPrompts::DrawOnRoute(std::size_t route) {
  const auto subject = static_cast<std::uint64_t>(
      std::exp(base::UniformReal(random_) * std::log(kSubjects)));
  std::vector<ContentHash> parts{
      ContentHash(kFirstPart, route),
      ContentHash(kSubjectPart, subject * kRoutes + route)};
  if (Chance(kFurtherShare)) {
    parts.emplace_back(kFurtherPart,
                       base::UniformBelow(random_, kFurtherParts));
  }
  return parts;
}

double DrawnPrompts::Real(double from, double to) {
  return from + (to - from) * base::UniformReal(random_);
}

bool DrawnPrompts::Chance(double probability) {
  return base::UniformReal(random_) < probability;
}

}  // namespace lynxglade::bench
