// Asks targets for their load reports, a few at a time, on threads of its own.
#ifndef LYNXGLADE_PROCESS_LOAD_POLLER_H_
#define LYNXGLADE_PROCESS_LOAD_POLLER_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "base/time.h"
#include "connection/load_report.h"
#include "process/target_registry.h"

namespace lynxglade::process {

struct LoadPollerOptions {
  // From one report of a target to the next.
  base::Duration interval = std::chrono::seconds(1);
  // From one look for targets to the next while there are none.
  base::Duration empty_interval = std::chrono::milliseconds(100);
  std::size_t threads = 2;
};

struct LoadPollerHooks {
  // The targets to ask, read anew each round.
  std::function<std::vector<ListedTarget>()> targets;
  // Asks one; blocks for a bounded time.
  std::function<std::optional<connection::LoadReport>(const ListedTarget&)>
      fetch;
  // Gets each report, on a poller's thread.
  std::function<void(const connection::LoadReport&)> on_report;
};

// Starts its threads when constructed and joins them when destroyed.
class LoadPoller {
 public:
  LoadPoller(LoadPollerOptions options, LoadPollerHooks hooks);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  // Polls every target whose turn is this worker's.
  void Work(std::size_t worker);
  // Returns false when the poller stops.
  bool Wait(base::Duration d);

  const LoadPollerOptions options_;
  const LoadPollerHooks hooks_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LOAD_POLLER_H_
