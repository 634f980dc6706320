// lynxglade-overhead: measures the latency that one entry instance adds and the
// resources that it uses.
#include <pthread.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "load/tally.h"
#include "overhead/measurements.h"

namespace lynxglade::bench {
namespace {

constexpr double kMillis = 1000;
constexpr std::size_t kStackBytes = 256UL * 1024;
// The kernel retries a dropped connection attempt after one second.
constexpr double kRetransmittedSeconds = 0.9;

struct Settings {
  std::string mode;
  std::string deployment;
  std::string engines;
  std::string entry;
  std::size_t count = 0;
  std::int64_t tokens = 0;
  int pid = 0;
};

void PrintRow(const char* name, std::vector<double>* samples) {
  std::printf(
      "  %-28s p50 %8.3f   p95 %8.3f   p99 %8.3f   max %8.3f ms\n", name,
      Quantile(samples, 0.5) * kMillis, Quantile(samples, 0.95) * kMillis,
      Quantile(samples, 0.99) * kMillis, Quantile(samples, 1) * kMillis);
}

void PrintAdded(const char* name,
                std::vector<double>* through,
                std::vector<double>* direct) {
  const auto added = [&](double q) {
    return (Quantile(through, q) - Quantile(direct, q)) * kMillis;
  };
  std::printf("  %-28s p50 %8.3f   p95 %8.3f ms\n", name, added(0.5),
              added(0.95));
}

int RunLatency(const Deployment& deployment,
               const std::vector<Endpoint>& engines,
               const Endpoint& entry,
               const Settings& settings) {
  LatencySamples samples =
      MeasureLatency(deployment, engines, entry, settings.count);
  std::printf("latency: %zu pairs, interleaved, one at a time, failed %zu\n",
              settings.count, samples.failed);
  PrintRow("first token, direct", &samples.direct_first_token_s);
  PrintRow("first token, through", &samples.entry_first_token_s);
  PrintRow("whole answer, direct", &samples.direct_whole_s);
  PrintRow("whole answer, through", &samples.entry_whole_s);
  PrintAdded("first token, added", &samples.entry_first_token_s,
             &samples.direct_first_token_s);
  PrintAdded("whole answer, added", &samples.entry_whole_s,
             &samples.direct_whole_s);
  return samples.failed == 0 ? 0 : 1;
}

int RunStreams(const Deployment& deployment,
               const Endpoint& entry,
               const Settings& settings) {
  StreamFindings found = MeasureStreams(deployment, entry, settings.count,
                                        settings.tokens, settings.pid);
  std::printf(
      "streams: %zu through one instance, whole %zu, failed %zu, most at once "
      "%zu\n",
      settings.count, found.whole, found.failed, found.max_concurrent);
  PrintRow("first token", &found.first_token_s);
  PrintRow("between tokens", &found.gap_s);
  std::printf(
      "  %llu tokens in %.1f s (%.0f/s); process: resident %.1f MB, peak %.1f "
      "MB, threads %d, cpu %.1f s = %.2f cores, %.1f us a token\n",
      static_cast<unsigned long long>(found.tokens), found.seconds,
      static_cast<double>(found.tokens) / found.seconds,
      found.usage.resident_mb, found.usage.peak_resident_mb,
      found.usage.threads, found.usage.cpu_s, found.usage.cpu_s / found.seconds,
      found.usage.cpu_s * 1e6 /
          static_cast<double>(std::max<std::uint64_t>(1, found.tokens)));
  return found.failed == 0 ? 0 : 1;
}

int RunBurst(const Endpoint& entry, const Settings& settings) {
  BurstFindings found = MeasureBurst(entry, settings.count);
  const auto delayed = std::ranges::count_if(
      found.first_byte_s, [](double s) { return s > kRetransmittedSeconds; });
  std::printf("burst: %zu connections at once, failed %zu, delayed %td\n",
              settings.count, found.failed, delayed);
  PrintRow("connect", &found.connect_s);
  PrintRow("first byte of the answer", &found.first_byte_s);
  return found.failed == 0 && delayed == 0 ? 0 : 1;
}

Settings ReadSettings(int argc, char** argv) {
  TCLAP::CmdLine cmd("Measures what one entry instance adds and needs.", ' ',
                     "0.1");
  using Text = TCLAP::ValueArg<std::string>;
  std::vector<std::string> modes = {"latency", "streams", "burst"};
  TCLAP::ValuesConstraint<std::string> allowed(modes);
  Text mode("", "mode", "What to measure.", true, "", &allowed, cmd);
  Text deployment("", "deployment", "File of bench/deployments.", true, "",
                  "path", cmd);
  Text engines("", "engines", "Stand-in engines, address:port by commas.",
               false, "", "list", cmd);
  Text entry("", "entry", "The entry instance, address:port.", true, "",
             "address:port", cmd);
  TCLAP::ValueArg<std::size_t> count(
      "", "count", "Pairs, streams or connections.", false, 500, "n", cmd);
  TCLAP::ValueArg<std::int64_t> tokens("", "tokens", "Tokens of a stream.",
                                       false, 300, "n", cmd);
  TCLAP::ValueArg<int> pid("", "pid", "Process of the instance.", false, 0, "n",
                           cmd);
  cmd.parse(argc, argv);
  return Settings{mode.getValue(),  deployment.getValue(), engines.getValue(),
                  entry.getValue(), count.getValue(),      tokens.getValue(),
                  pid.getValue()};
}

std::vector<Endpoint> ParseList(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    Endpoint endpoint;
    if (ParseEndpoint(part, &endpoint)) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

int Run(const Settings& settings) {
  std::string error;
  const auto deployment = LoadDeployment(settings.deployment, &error);
  const std::vector<Endpoint> engines = ParseList(settings.engines);
  Endpoint entry;
  const bool needs_engines = settings.mode == "latency";
  if (!deployment || !ParseEndpoint(settings.entry, &entry) ||
      (needs_engines && engines.empty())) {
    std::cerr << (deployment ? "--entry, --engines: address:port" : error)
              << "\n";
    return 2;
  }
  if (settings.mode == "latency") {
    return RunLatency(*deployment, engines, entry, settings);
  }
  if (settings.mode == "streams") {
    return RunStreams(*deployment, entry, settings);
  }
  return RunBurst(entry, settings);
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
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
