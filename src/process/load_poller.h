// Polls targets for their load reports on a few threads.
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
  // Between two polls of a target.
  base::Duration interval = std::chrono::seconds(1);
  // Between two checks for targets while there are none.
  base::Duration empty_interval = std::chrono::milliseconds(100);
  std::size_t threads = 2;
};

struct LoadPollerHooks {
  // The targets to poll; called by each thread at the start of a round.
  std::function<std::vector<ListedTarget>()> targets;
  // Fetches one report; blocks for a bounded time.
  std::function<std::optional<connection::LoadReport>(const ListedTarget&)>
      fetch;
  // Called with each report on a polling thread.
  std::function<void(const connection::LoadReport&)> on_report;
};

// The constructor starts the threads, the destructor joins them.
class LoadPoller {
 public:
  LoadPoller(LoadPollerOptions options, LoadPollerHooks hooks);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  // Thread body: polls every `threads`-th target, starting at `worker`.
  void PollLoop(std::size_t worker);
  // Waits for `d`; returns false when the poller is stopping.
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
