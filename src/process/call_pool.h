// A few threads for calls that block, so that actors need not.
#ifndef LYNXGLADE_PROCESS_CALL_POOL_H_
#define LYNXGLADE_PROCESS_CALL_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lynxglade::process {

// Runs calls in the order in which they came. Thread-safe. The owner bounds
// how many calls are waiting.
class CallPool {
 public:
  explicit CallPool(int threads);
  // Runs what is queued, then ends the threads.
  ~CallPool();
  CallPool(const CallPool&) = delete;
  CallPool& operator=(const CallPool&) = delete;

  void Run(std::function<void()> call);

 private:
  void Work();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> calls_;
  bool stopping_ = false;
  std::vector<std::jthread> threads_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CALL_POOL_H_
