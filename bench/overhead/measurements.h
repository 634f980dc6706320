// What one entry instance costs: added latency, many streams, a burst of
// connections.
#ifndef LYNXGLADE_BENCH_OVERHEAD_MEASUREMENTS_H_
#define LYNXGLADE_BENCH_OVERHEAD_MEASUREMENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "load/caller.h"
#include "load/deployment.h"

namespace lynxglade::bench {

// First-token and whole-answer times in seconds of the same requests, sent to
// an engine and through an instance in turn.
struct LatencySamples {
  std::vector<double> direct_first_token_s;
  std::vector<double> direct_whole_s;
  std::vector<double> through_first_token_s;
  std::vector<double> through_whole_s;
  std::size_t failed = 0;
};

// Sends `pairs` short requests one after the other, each to one of `engines`
// and to `entry`, in an order that alternates.
LatencySamples MeasureLatency(const Deployment& deployment,
                              const std::vector<Endpoint>& engines,
                              const Endpoint& entry,
                              std::size_t pairs);

struct ProcessUsage {
  double cpu_s = 0;  // of all threads since the start
  double resident_mb = 0;
  double peak_resident_mb = 0;
  int threads = 0;
};

// Reads /proc; nothing when there is no such process.
std::optional<ProcessUsage> ReadUsage(int pid);

struct StreamFindings {
  std::size_t whole = 0;
  std::size_t failed = 0;
  std::size_t most_at_once = 0;
  double seconds = 0;
  std::uint64_t tokens = 0;
  // Highest seen of the process, and its processor time over the run.
  ProcessUsage usage;
  std::vector<double> first_token_s;
  std::vector<double> gap_s;
};

// Opens `streams` within a second through `entry`, each of `tokens` tokens,
// and waits for all. `pid` is the instance's process.
StreamFindings MeasureStreams(const Deployment& deployment,
                              const Endpoint& entry,
                              std::size_t streams,
                              std::int64_t tokens,
                              int pid);

// Of each connection of a burst: seconds until it was open, and until the
// first byte of the answer to a small request on it.
struct BurstFindings {
  std::vector<double> connect_s;
  std::vector<double> first_byte_s;
  std::size_t failed = 0;
};

// Opens `connections` at once from one thread.
BurstFindings MeasureBurst(const Endpoint& entry, std::size_t connections);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_OVERHEAD_MEASUREMENTS_H_
