// Service of kinds, zones, subjects and callers.
#include <algorithm>
#include <utility>

#include "rig/checker.h"
#include "rig/format.h"

namespace lynxglade::rig {

namespace {

// What one subject or caller asked for.
struct Asker {
  std::size_t requests = 0;
  bool served = false;
  base::Time first_at = base::Time::max();
  base::Time last_at = base::Time::min();
  // That none of its requests is served, as often as all of their kinds are.
  double unserved_by_chance = 1;
};

std::string KindOf(const CallerRequestRecord& it) {
  return it.kind;
}

void CheckRates(RigBound bound,
                const RunRecords& records,
                const GroupName& name,
                const RigTerms& terms,
                std::vector<BoundUse>* uses) {
  const auto all =
      GroupRequests(records, [](const CallerRequestRecord&) { return "all"; });
  if (all.empty() || all.begin()->second.served == 0) {
    return;
  }
  const double least = terms.min_group_ratio * all.begin()->second.Rate();
  for (const auto& [group, it] : GroupRequests(records, name)) {
    if (it.requests < terms.min_group_requests) {
      continue;
    }
    uses->push_back({bound, group,
                     it.served == 0 ? least * 1000 : least / it.Rate(),
                     Format("%.2f served, of all %.2f", it.Rate(),
                            all.begin()->second.Rate())});
  }
}

void CheckAskers(RigBound bound,
                 const std::string& subject,
                 const RunRecords& records,
                 const GroupName& name,
                 const RigTerms& terms,
                 std::vector<BoundUse>* uses) {
  const auto kinds = GroupRequests(records, KindOf);
  std::map<std::string, Asker> askers;
  for (const CallerRequestRecord& it : records.requests) {
    const std::string group = name(it);
    if (group.empty() || it.attempts.empty()) {
      continue;
    }
    Asker& asker = askers[group];
    ++asker.requests;
    asker.served = asker.served || it.end == RequestEnd::kServed;
    asker.first_at = std::min(asker.first_at, it.attempts.front().sent_at);
    asker.last_at = std::max(asker.last_at, it.attempts.front().sent_at);
    asker.unserved_by_chance *= 1 - kinds.at(it.kind).Rate();
  }
  std::size_t judged = 0;
  std::size_t unserved = 0;
  double by_chance = 0;
  for (const auto& [group, it] : askers) {
    if (it.requests < terms.min_asked ||
        it.last_at - it.first_at < terms.min_asked_time) {
      continue;
    }
    ++judged;
    unserved += it.served ? 0 : 1;
    by_chance += it.unserved_by_chance;
  }
  const double allowed =
      std::max(terms.free_unserved +
                   terms.free_unserved_fraction * static_cast<double>(judged),
               terms.max_unserved_by_chance * by_chance);
  uses->push_back({bound, subject, static_cast<double>(unserved) / allowed,
                   Format("%zu of %zu never served, %.1f by chance", unserved,
                          judged, by_chance)});
}

}  // namespace

std::map<std::string, bench::ServedCount> GroupRequests(
    const RunRecords& records,
    const GroupName& name) {
  std::map<std::string, bench::ServedCount> groups;
  for (const CallerRequestRecord& it : records.requests) {
    const std::string group = name(it);
    if (!group.empty()) {
      bench::ServedCount& served = groups[group];
      ++served.requests;
      served.served += it.end == RequestEnd::kServed ? 1 : 0;
    }
  }
  return groups;
}

std::vector<BoundUse> CheckGroups(const RunRecords& records,
                                  const RigTerms& terms) {
  std::vector<BoundUse> uses;
  CheckRates(RigBound::kKinds, records, KindOf, terms, &uses);
  CheckRates(
      RigBound::kZones, records,
      [](const CallerRequestRecord& it) { return it.zone; }, terms, &uses);
  for (const auto& [kind, group] : GroupRequests(records, KindOf)) {
    CheckAskers(
        RigBound::kSubjects, kind, records,
        [&kind](const CallerRequestRecord& it) {
          return it.kind == kind ? it.subject : std::string();
        },
        terms, &uses);
  }
  CheckAskers(
      RigBound::kCallers, "", records,
      [](const CallerRequestRecord& it) {
        return "caller " + std::to_string(it.caller);
      },
      terms, &uses);
  return uses;
}

}  // namespace lynxglade::rig
