// Service of first tries at an instance that gets most new connections.
#include <algorithm>

#include "rig/checker.h"
#include "rig/format.h"

namespace lynxglade::rig {

namespace {

constexpr unsigned kOk = 200;

// Whether the first attempt that an instance read was served. Without such an
// attempt it was not.
bool IsServedAtFirstReading(const CallerRequestRecord& request) {
  const auto first =
      std::ranges::find(request.attempts, false, &CallerAttempt::unread);
  return first != request.attempts.end() && first->complete &&
         first->status == kOk;
}

}  // namespace

std::vector<BoundUse> CheckRecover(const RunRecords& records,
                                   const RigTerms& terms) {
  if (records.floods.empty()) {
    return {};
  }
  const base::Time begin =
      std::ranges::min(records.floods, {}, &FloodSpan::from).from;
  bench::ServedCount before;
  bench::ServedCount meanwhile;
  for (const CallerRequestRecord& it : records.requests) {
    if (it.attempts.empty()) {
      continue;
    }
    const CallerAttempt& first = it.attempts.front();
    const bool is_flooded =
        std::ranges::any_of(records.floods, [&](const FloodSpan& flood) {
          return flood.instance == first.instance &&
                 flood.from + terms.flood_notice <= first.sent_at &&
                 first.sent_at < flood.to;
        });
    if (!is_flooded && first.sent_at >= begin) {
      continue;
    }
    bench::ServedCount& count = is_flooded ? meanwhile : before;
    ++count.requests;
    count.served += IsServedAtFirstReading(it) ? 1 : 0;
  }
  if (meanwhile.requests < terms.min_group_requests || before.served == 0) {
    return {};
  }
  const double least = terms.min_recover_ratio * before.Rate();
  return {{RigBound::kRecover, "",
           meanwhile.served == 0 ? least * 1000 : least / meanwhile.Rate(),
           Format("%zu of %zu first tries served, before %zu of %zu",
                  meanwhile.served, meanwhile.requests, before.served,
                  before.requests)}};
}

}  // namespace lynxglade::rig
