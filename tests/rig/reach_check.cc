// Service of first tries at instances that are cut off from the engines.
#include <algorithm>

#include "rig/checker.h"
#include "rig/format.h"

namespace lynxglade::rig {

namespace {

constexpr unsigned kOk = 200;

bool IsCut(const RunRecords& records,
           std::size_t instance,
           base::Time at,
           base::Duration notice) {
  return std::ranges::any_of(records.cuts, [&](const CutSpan& it) {
    return it.instance == instance && it.from + notice <= at && at < it.to;
  });
}

bool AnyCut(const RunRecords& records, base::Time at, base::Duration notice) {
  return std::ranges::any_of(records.cuts, [&](const CutSpan& it) {
    return it.from + notice <= at && at < it.to;
  });
}

}  // namespace

std::vector<BoundUse> CheckReach(const RunRecords& records,
                                 const RigTerms& terms) {
  bench::ServedCount cut;
  bench::ServedCount others;
  for (const CallerRequestRecord& it : records.requests) {
    if (it.attempts.empty()) {
      continue;
    }
    const CallerAttempt& first = it.attempts.front();
    const bool is_cut =
        IsCut(records, it.instance, first.sent_at, terms.cut_notice);
    const bool just_cut =
        !is_cut && IsCut(records, it.instance, first.sent_at, {});
    if (just_cut || !AnyCut(records, first.sent_at, terms.cut_notice)) {
      continue;
    }
    bench::ServedCount& count = is_cut ? cut : others;
    ++count.requests;
    count.served += first.complete && first.status == kOk ? 1 : 0;
  }
  if (cut.requests == 0 || others.served == 0) {
    return {};
  }
  const double least = terms.min_reach_ratio * others.Rate();
  const double failed = static_cast<double>(cut.requests - cut.served);
  const double free = terms.free_unreached +
                      terms.free_unreached_fraction *
                          static_cast<double>(cut.requests + others.requests);
  const double by_rate = cut.served == 0 ? least * 1000 : least / cut.Rate();
  return {{RigBound::kReach, "", std::min(by_rate, failed / free),
           Format("%zu of %zu first tries served, of others %zu of %zu",
                  cut.served, cut.requests, others.served, others.requests)}};
}

}  // namespace lynxglade::rig
