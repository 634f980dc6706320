// Thread pool for blocking calls, so that actors don't block.
#ifndef LYNXGLADE_PROCESS_CALL_POOL_H_
#define LYNXGLADE_PROCESS_CALL_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lynxglade::process {

// Starts calls in the order of Run(). Thread-safe. The queue is not bounded;
// the owner has to limit the number of calls waiting.
class CallPool {
 public:
  explicit CallPool(int threads);
  // Runs the queued calls, then ends the threads.
  ~CallPool();
  CallPool(const CallPool&) = delete;
  CallPool& operator=(const CallPool&) = delete;

  void Run(std::function<void()> call);

 private:
  void RunWorker();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> calls_;
  bool stopping_ = false;
  std::vector<std::jthread> threads_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CALL_POOL_H_
