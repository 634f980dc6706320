// What the stand-ins say they ran, against what the callers were told.
#ifndef LYNXGLADE_BENCH_LOAD_JOURNALS_H_
#define LYNXGLADE_BENCH_LOAD_JOURNALS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "load/caller.h"
#include "load/trace.h"

namespace lynxglade::bench {

struct JournalFindings {
  std::size_t read = 0;    // stand-ins that answered
  std::size_t unread = 0;  // those that did not: the rest is then a lower bound
  std::uint64_t runs = 0;
  // Non-idempotent requests with more than one run: broken promises.
  std::uint64_t non_idempotent_doubled = 0;
  // Requests refused as "not_run" that a stand-in ran: broken promises.
  std::uint64_t untrue_not_run = 0;
  // Their ids, to look them up.
  std::vector<std::string> untrue_ids;
  // Orders that took an engine out of service, for any reason.
  std::uint64_t role_changes = 0;
};

// Reads GET /journal of every port in `targets`: stand-ins, or control ports
// that answer for many. `not_run` are the ids of the requests whose refusal
// said so.
JournalFindings ReadJournals(const std::vector<Endpoint>& targets,
                             const std::vector<TraceItem>& trace,
                             const std::set<std::string>& not_run);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_JOURNALS_H_
