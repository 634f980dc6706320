// Requests that share a part of their prompts which crashes engines, and sound
// ones beside them. Which request has which part is what its caller says.
#include <algorithm>
#include <map>

#include "rig/checker.h"
#include "rig/format.h"

namespace lynxglade::rig {

namespace {

constexpr unsigned kOk = 200;

// Of one part.
struct PartRuns {
  std::vector<base::Time> crashes;
  std::vector<base::Time> arrivals;
  base::Time last_sent{};
};

std::map<std::string, PartRuns> RunsByPart(const RunRecords& records) {
  std::map<std::string, std::string> part_of;
  std::map<std::string, PartRuns> parts;
  for (const CallerRequestRecord& request : records.requests) {
    if (request.crashing_part.empty()) {
      continue;
    }
    PartRuns& part = parts[request.crashing_part];
    for (const CallerAttempt& it : request.attempts) {
      part_of[it.id] = request.crashing_part;
      part.last_sent = std::max(part.last_sent, it.sent_at);
    }
  }
  for (const Arrival& it : records.arrivals) {
    const auto part = part_of.find(it.attempt);
    if (part != part_of.end()) {
      parts[part->second].arrivals.push_back(it.at);
      if (it.crashed) {
        parts[part->second].crashes.push_back(it.at);
      }
    }
  }
  for (auto& [name, part] : parts) {
    std::ranges::sort(part.crashes);
  }
  return parts;
}

bool IsBegun(const CallerAttempt& attempt) {
  return attempt.status == kOk && !attempt.body.empty();
}

// Of sound requests of each kind, sent in [from, to).
std::map<std::string, bench::ServedCount> CountBegun(const RunRecords& records,
                                                     base::Time from,
                                                     base::Time to) {
  std::map<std::string, bench::ServedCount> counts;
  for (const CallerRequestRecord& it : records.requests) {
    if (it.subject.empty() || !it.crashing_part.empty() ||
        it.attempts.empty()) {
      continue;
    }
    const CallerAttempt& first = it.attempts.front();
    if (from <= first.sent_at && first.sent_at < to) {
      bench::ServedCount& count = counts[it.kind];
      ++count.requests;
      count.served += IsBegun(first) ? 1 : 0;
    }
  }
  return counts;
}

}  // namespace

std::vector<BoundUse> CheckCrashingParts(const RunRecords& records,
                                         const RigTerms& terms) {
  std::vector<BoundUse> uses;
  base::Time first_crash = base::Time::max();
  base::Time judged_from{};
  base::Time judged_to{};
  for (const auto& [name, part] : RunsByPart(records)) {
    if (part.crashes.empty()) {
      continue;
    }
    const auto free = static_cast<std::size_t>(terms.free_part_crashes);
    const base::Time counted =
        part.crashes[std::min(free, part.crashes.size()) - 1];
    const auto late = std::ranges::count_if(part.arrivals, [&](base::Time it) {
      return part.crashes.size() >= free && it > counted + terms.crash_notice;
    });
    uses.push_back({RigBound::kCrashes, name,
                    static_cast<double>(late) / terms.max_runs_after,
                    Format("%zu engines crashed, %d requests sent late",
                           part.crashes.size(), static_cast<int>(late))});
    first_crash = std::min(first_crash, part.crashes.front());
    judged_from = std::max(judged_from, counted + 2 * terms.crash_notice);
    judged_to = std::max(judged_to, part.last_sent);
  }
  const auto before = CountBegun(records, base::Time(), first_crash);
  for (const auto& [kind, count] :
       CountBegun(records, judged_from, judged_to)) {
    const auto it = before.find(kind);
    if (uses.empty() || count.requests < terms.min_sound ||
        it == before.end() || it->second.requests < terms.min_sound) {
      continue;
    }
    const double least = terms.min_begun_ratio * it->second.Rate();
    uses.push_back(
        {RigBound::kLost, kind,
         count.served == 0 ? least * 1000 : least / count.Rate(),
         Format("%zu of %zu begun, before %zu of %zu", count.served,
                count.requests, it->second.served, it->second.requests)});
  }
  return uses;
}

}  // namespace lynxglade::rig
