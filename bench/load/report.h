// Reports of a run as JSON, as text and as rows for gnuplot.
#ifndef LYNXGLADE_BENCH_LOAD_REPORT_H_
#define LYNXGLADE_BENCH_LOAD_REPORT_H_

#include <cstdint>
#include <string>

#include "load/journals.h"
#include "load/tally.h"
#include "load/trace.h"

namespace lynxglade::bench {

struct RunFacts {
  std::string deployment;
  std::string label;  // free text that identifies the run
  std::uint64_t seed = 0;
  double seconds = 0;
};

// Both functions reorder the samples of `totals`.
std::string MakeJsonReport(const RunFacts& facts,
                           const JournalFindings& journals,
                           Totals* totals);
std::string MakeTextReport(const RunFacts& facts,
                           const JournalFindings& journals,
                           Totals* totals);

// One row per second: time, offered requests, delivered share of the worth, p95
// of time to first token in milliseconds, prompt:output ratio.
std::string MakePlotRows(const Workload& workload, Totals* totals);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_REPORT_H_
