// Compares the journals of the fakes with the responses to the callers.
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
  std::size_t read = 0;  // fakes that answered
  std::size_t unread =
      0;  // fakes that did not; the counts below are then lower bounds
  std::uint64_t runs = 0;
  // Non-idempotent requests that ran more than once; must be 0.
  std::uint64_t non_idempotent_doubled = 0;
  // Requests rejected as "not_run" that a fake ran; must be 0.
  std::uint64_t untrue_not_run = 0;
  // Request ids counted by untrue_not_run.
  std::vector<std::string> untrue_not_run_ids;
  // Orders that took an engine out of service, for any reason.
  std::uint64_t role_changes = 0;
};

// Reads GET /journal of each endpoint in `targets`: a fake, or a control port
// that serves the journals of several. `not_run` has the ids of the requests
// that were rejected as "not_run".
JournalFindings ReadJournals(const std::vector<Endpoint>& targets,
                             const std::vector<TraceItem>& trace,
                             const std::set<std::string>& not_run);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_JOURNALS_H_
