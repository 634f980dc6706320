// Measures the cost of one entry instance: added latency, concurrent streams
// and a burst of connections.
#ifndef LYNXGLADE_BENCH_OVERHEAD_MEASUREMENTS_H_
#define LYNXGLADE_BENCH_OVERHEAD_MEASUREMENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "load/caller.h"
#include "load/deployment.h"

namespace lynxglade::bench {

// Times in seconds to the first token and to the end of the same requests, sent
// directly to an engine and through an instance.
struct LatencySamples {
  std::vector<double> direct_first_token_s;
  std::vector<double> direct_whole_s;
  std::vector<double> entry_first_token_s;
  std::vector<double> entry_whole_s;
  std::size_t failed = 0;
};

// Sends `pairs` short requests sequentially, each to one of `engines` and to
// `entry`, alternating which is first.
LatencySamples MeasureLatency(const Deployment& deployment,
                              const std::vector<Endpoint>& engines,
                              const Endpoint& entry,
                              std::size_t pairs);

struct ProcessUsage {
  double cpu_s = 0;  // of all threads since the process started
  double resident_mb = 0;
  double peak_resident_mb = 0;
  int threads = 0;
};

// Reads /proc; nullopt when the process does not exist.
std::optional<ProcessUsage> ReadUsage(int pid);

struct StreamFindings {
  std::size_t whole = 0;
  std::size_t failed = 0;
  std::size_t max_concurrent = 0;
  double seconds = 0;
  std::uint64_t tokens = 0;
  // Maximum memory and threads of the process, and its CPU time over the run.
  ProcessUsage usage;
  std::vector<double> first_token_s;
  std::vector<double> gap_s;
};

// Opens `streams` streams of `tokens` tokens each through `entry` within a
// second and waits for all. `pid` is the process of the instance.
StreamFindings MeasureStreams(const Deployment& deployment,
                              const Endpoint& entry,
                              std::size_t streams,
                              std::int64_t tokens,
                              int pid);

// For each connection of a burst: seconds until it was open, and until the
// first byte of the response to a small request.
struct BurstFindings {
  std::vector<double> connect_s;
  std::vector<double> first_byte_s;
  std::size_t failed = 0;
};

// Opens `connections` connections concurrently from one thread.
BurstFindings MeasureBurst(const Endpoint& entry, std::size_t connections);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_OVERHEAD_MEASUREMENTS_H_
