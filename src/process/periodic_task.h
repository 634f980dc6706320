// A thread that runs a function periodically until it is stopped.
#ifndef LYNXGLADE_PROCESS_PERIODIC_TASK_H_
#define LYNXGLADE_PROCESS_PERIODIC_TASK_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/time.h"

namespace lynxglade::process {

// Runs `job` immediately and then `interval` after each return. The job may
// block for a bounded time. The destructor stops the thread.
class PeriodicTask {
 public:
  PeriodicTask(base::Duration interval, std::function<void()> job);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  // Waits for a running job; it is not started again.
  void Stop();

 private:
  void Loop();

  const base::Duration interval_;
  const std::function<void()> job_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_PERIODIC_TASK_H_
