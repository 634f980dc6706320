#include "overhead/measurements.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

#include <unistd.h>

#include "base/random.h"

namespace lynxglade::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kPatience = seconds(10);
constexpr std::int64_t kShortOutput = 2;
// Maximum random pause before a request. The fake engines work in ticks;
// without random pauses, one side could always hit the same phase of the ticks.
constexpr std::uint64_t kPauseMicros = 20000;
constexpr std::uint64_t kPauseSeed = 1;

TraceItem MakeItem(const Deployment& deployment,
                   std::size_t index,
                   std::int64_t output) {
  TraceItem item;
  item.id = base::RequestId("overhead-" + std::to_string(index));
  item.contract = deployment.contracts.front().id;
  item.deadline = seconds(120);
  item.prompt = base::Tokens(200);
  item.shared_prefix = base::Tokens(100);
  item.prefix_group = static_cast<int>(index % 8);
  item.output = base::Tokens(output);
  item.seed = index;
  return item;
}

bool IsWhole(const CallResult& result) {
  return result.verdict == Verdict::kDelivered;
}

double SecondsSince(base::Time start) {
  return std::chrono::duration<double>(base::BootClock::now() - start).count();
}

// Value in kB of a line "Name:  123 kB" of /proc/PID/status.
double StatusValue(const std::string& status, const std::string& name) {
  const std::size_t at = status.find("\n" + name + ":");
  return at == std::string::npos
             ? 0
             : std::stod(status.substr(at + name.size() + 2));
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Samples a process and the number of in-flight streams until stopped.
class Watcher {
 public:
  Watcher(int pid, const std::atomic<std::size_t>& open)
      : thread_([this, pid, &open] {
          while (!stop_) {
            Look(pid, open);
            std::this_thread::sleep_for(milliseconds(200));
          }
        }) {}
  ~Watcher() { Stop(); }
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  std::size_t max_concurrent() const noexcept { return most_at_once_; }
  const ProcessUsage& usage() const noexcept { return usage_; }

 private:
  void Look(int pid, const std::atomic<std::size_t>& open) {
    most_at_once_ = std::max(most_at_once_, open.load());
    if (const auto now = ReadUsage(pid)) {
      usage_.resident_mb = std::max(usage_.resident_mb, now->resident_mb);
      usage_.threads = std::max(usage_.threads, now->threads);
    }
  }

  std::atomic<bool> stop_{false};
  std::size_t most_at_once_ = 0;
  ProcessUsage usage_;
  std::thread thread_;
};

}  // namespace

LatencySamples MeasureLatency(const Deployment& deployment,
                              const std::vector<Endpoint>& engines,
                              const Endpoint& entry,
                              std::size_t pairs) {
  LatencySamples samples;
  const base::RandomSource random = base::SeededRandom(kPauseSeed);
  const auto send = [&](const Endpoint& to, std::size_t index,
                        std::vector<double>* first, std::vector<double>* all) {
    const TraceItem item = MakeItem(deployment, index, kShortOutput);
    const std::string body = MakeBody(deployment.workload, item);
    std::this_thread::sleep_for(
        std::chrono::microseconds(base::UniformBelow(random, kPauseMicros)));
    const CallResult result = Call(to, deployment.workload, item, body,
                                   base::BootClock::now(), kPatience);
    if (!IsWhole(result)) {
      ++samples.failed;
      return;
    }
    first->push_back(result.first_token_s);
    all->push_back(result.last_byte_s);
  };
  for (std::size_t i = 0; i < pairs; ++i) {
    const auto direct = [&] {
      send(engines[i % engines.size()], 2 * i, &samples.direct_first_token_s,
           &samples.direct_whole_s);
    };
    const auto through = [&] {
      send(entry, 2 * i + 1, &samples.entry_first_token_s,
           &samples.entry_whole_s);
    };
    if (i % 2 == 0) {
      direct();
      through();
    } else {
      through();
      direct();
    }
  }
  return samples;
}

std::optional<ProcessUsage> ReadUsage(int pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  const std::string stat = ReadFile(folder + "/stat");
  const std::string status = ReadFile(folder + "/status");
  // The name in parentheses may contain spaces; fields are counted after it.
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos || status.empty()) {
    return std::nullopt;
  }
  constexpr int kFieldsBeforeUserTime = 11;
  std::istringstream fields(stat.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  constexpr double kKilo = 1024;
  ProcessUsage usage;
  usage.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  usage.resident_mb = StatusValue(status, "VmRSS") / kKilo;
  usage.peak_resident_mb = StatusValue(status, "VmHWM") / kKilo;
  usage.threads = static_cast<int>(StatusValue(status, "Threads"));
  return usage;
}

StreamFindings MeasureStreams(const Deployment& deployment,
                              const Endpoint& entry,
                              std::size_t streams,
                              std::int64_t tokens,
                              int pid) {
  StreamFindings findings;
  std::mutex mutex;
  std::atomic<std::size_t> open{0};
  const auto run = [&](std::size_t index) {
    const TraceItem item = MakeItem(deployment, index, tokens);
    const std::string body = MakeBody(deployment.workload, item);
    ++open;
    const CallResult result = Call(entry, deployment.workload, item, body,
                                   base::BootClock::now(), kPatience);
    --open;
    const std::lock_guard lock(mutex);
    ++(IsWhole(result) ? findings.whole : findings.failed);
    findings.tokens += result.gaps_s.size();
    findings.first_token_s.push_back(result.first_token_s);
    findings.gap_s.insert(findings.gap_s.end(), result.gaps_s.begin(),
                          result.gaps_s.end());
  };
  const auto before = ReadUsage(pid);
  const base::Time start = base::BootClock::now();
  Watcher watcher(pid, open);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < streams; ++i) {
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  base::Duration(seconds(1)) / streams);
    threads.emplace_back(run, i);
  }
  std::ranges::for_each(threads, [](std::thread& it) { it.join(); });
  watcher.Stop();
  const auto after = ReadUsage(pid);
  findings.seconds = SecondsSince(start);
  findings.max_concurrent = watcher.max_concurrent();
  findings.usage = watcher.usage();
  if (before && after) {
    findings.usage.cpu_s = after->cpu_s - before->cpu_s;
    findings.usage.peak_resident_mb = after->peak_resident_mb;
  }
  return findings;
}

}  // namespace lynxglade::bench
