// lynxglade-load: plays a seeded trace against entry instances and reports the
// results as seen by the callers.
#include <pthread.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "load/deployment.h"
#include "load/driver.h"
#include "load/journals.h"
#include "load/report.h"
#include "load/tally.h"
#include "load/trace.h"

namespace lynxglade::bench {
namespace {

constexpr int kExitBadSetting = 2;
// Each in-flight request occupies a thread, which needs only a small stack.
constexpr std::size_t kStackBytes = 256UL * 1024;
constexpr std::size_t kProgressWindow = 10;

std::atomic<bool> g_stop{false};

struct Settings {
  std::string deployment;
  std::string entries;
  std::string journals;
  std::string report;
  std::string plot_rows;
  std::string label;
  double seconds = 60;
  double rate = 0;  // 0: the deployment's
  double swing_half_period_s = 0;
  std::size_t max_requests = 200000;
  std::size_t max_in_flight = 2000;
  std::uint64_t seed = 1;
  bool streams_only = false;
};

Settings ReadSettings(int argc, char** argv) {
  TCLAP::CmdLine cmd("Plays a seeded trace against entry instances.", ' ',
                     "0.1");
  using Text = TCLAP::ValueArg<std::string>;
  using Real = TCLAP::ValueArg<double>;
  using Count = TCLAP::ValueArg<std::size_t>;
  Text deployment("", "deployment", "File of bench/deployments.", true, "",
                  "path", cmd);
  Text entries("", "entries", "Entry instances, address:port by commas.", true,
               "", "list", cmd);
  Text journals("", "journals",
                "Stand-ins whose journals are checked, address:port by commas.",
                false, "", "list", cmd);
  Text report("", "report", "File for the JSON report.", false, "", "path",
              cmd);
  Text plot("", "plot-rows", "File for the rows of the plot.", false, "",
            "path", cmd);
  Text label("", "label", "Name of this run in the report.", false, "", "text",
             cmd);
  Real seconds("", "seconds", "Time over which requests arrive.", false, 60,
               "s", cmd);
  Real rate("", "rate", "Requests a second (0: the deployment's).", false, 0,
            "1/s", cmd);
  Real swing("", "swing",
             "Seconds from one extreme of the mix to the other (0: the "
             "deployment's).",
             false, 0, "s", cmd);
  Count most("", "max-requests", "Most requests in the trace.", false, 200000,
             "n", cmd);
  Count in_flight("", "max-in-flight", "Most requests under way.", false, 2000,
                  "n", cmd);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the trace.", false,
                                      1, "n", cmd);
  TCLAP::SwitchArg streams_only(
      "", "streams-only",
      "Chat streams only: no whole answers, no plain services.", cmd);
  cmd.parse(argc, argv);
  return {deployment.getValue(),  entries.getValue(),   journals.getValue(),
          report.getValue(),      plot.getValue(),      label.getValue(),
          seconds.getValue(),     rate.getValue(),      swing.getValue(),
          most.getValue(),        in_flight.getValue(), seed.getValue(),
          streams_only.getValue()};
}

// Parses "address:port,address:port"; nullopt when a part is invalid.
std::optional<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    Endpoint endpoint;
    if (!ParseEndpoint(part, &endpoint)) {
      std::cerr << "not address:port: " << part << "\n";
      return std::nullopt;
    }
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

void Override(const Settings& settings, Workload* workload) {
  if (settings.rate > 0) {
    workload->requests_per_s = settings.rate;
  }
  if (settings.swing_half_period_s > 0) {
    workload->swing_half_period_s = settings.swing_half_period_s;
  }
  if (settings.streams_only) {
    workload->plain_share = 0;
    workload->whole_share = 0;
  }
}

void PrintProgress(const Tally& tally,
                   const Workload& workload,
                   base::Duration since_start,
                   std::size_t in_flight) {
  const Counts now = tally.GetCounts();
  const auto n = [&](Verdict verdict) {
    return static_cast<unsigned long long>(now.Of(verdict));
  };
  const double ended_share =
      now.offered > 0 ? static_cast<double>(now.offered - in_flight) /
                            static_cast<double>(now.offered)
                      : 0;
  std::printf(
      "%4.0f s  mix %4.2f:1  offered %llu  delivered %llu  late %llu  refused "
      "%llu  cut %llu  lost %llu  in flight %zu  ended %.0f%%  first token p95 "
      "%.0f ms\n",
      std::chrono::duration<double>(since_start).count(),
      RatioAt(workload, since_start),
      static_cast<unsigned long long>(now.offered), n(Verdict::kDelivered),
      n(Verdict::kLate), n(Verdict::kRefused),
      n(Verdict::kCut) + n(Verdict::kBroken), n(Verdict::kLost), in_flight,
      ended_share * 100, tally.RecentFirstTokenP95(kProgressWindow) * 1000);
  std::fflush(stdout);
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out) {
    std::cerr << "cannot write " << path << "\n";
    return false;
  }
  return true;
}

int Run(const Settings& settings) {
  std::string error;
  std::optional<Deployment> deployment =
      LoadDeployment(settings.deployment, &error);
  if (!deployment) {
    std::cerr << error << "\n";
    return kExitBadSetting;
  }
  Override(settings, &deployment->workload);
  const auto entries = ParseEndpoints(settings.entries);
  const auto journals = ParseEndpoints(settings.journals);
  if (!entries || !journals || entries->empty()) {
    return kExitBadSetting;
  }

  DriverOptions options;
  options.entries = *entries;
  options.workload = deployment->workload;
  options.max_in_flight = settings.max_in_flight;
  const std::vector<TraceItem> trace =
      MakeTrace(*deployment,
                std::chrono::duration_cast<base::Duration>(
                    std::chrono::duration<double>(settings.seconds)),
                settings.max_requests, settings.seed);
  Tally tally;
  PlayTrace(
      options, trace, g_stop,
      [&](base::Duration since_start, std::size_t in_flight) {
        PrintProgress(tally, options.workload, since_start, in_flight);
      },
      &tally);

  Totals totals = tally.Get();
  const JournalFindings findings =
      ReadJournals(*journals, trace, totals.not_run);
  const RunFacts facts{deployment->name, settings.label, settings.seed,
                       settings.seconds};
  std::cout << "\n" << MakeTextReport(facts, findings, &totals);
  const bool written =
      WriteFile(settings.report, MakeJsonReport(facts, findings, &totals)) &&
      WriteFile(settings.plot_rows, MakePlotRows(options.workload, &totals));
  return written ? 0 : 1;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGINT, [](int) { g_stop = true; });
  std::signal(SIGTERM, [](int) { g_stop = true; });
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, kStackBytes);
  pthread_setattr_default_np(&attr);
  pthread_attr_destroy(&attr);
  try {
    return Run(ReadSettings(argc, argv));
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return 1;
  }
}

}  // namespace
}  // namespace lynxglade::bench

int main(int argc, char** argv) {
  return lynxglade::bench::Main(argc, argv);
}
