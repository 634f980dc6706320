// The report of a run: JSON for programs, lines for people, rows for gnuplot.
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
  std::string label;  // what is compared, free text
  std::uint64_t seed = 0;
  double seconds = 0;
};

// Both sort the samples of `totals`.
std::string MakeJsonReport(const RunFacts& facts,
                           const JournalFindings& journals,
                           Totals* totals);
std::string MakeTextReport(const RunFacts& facts,
                           const JournalFindings& journals,
                           Totals* totals);

// One row a second: time, offered, delivered worth share, first-token p95 in
// milliseconds, prompt:output ratio.
std::string MakePlotRows(const Workload& workload, Totals* totals);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_REPORT_H_
