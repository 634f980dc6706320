// The threads that serve connections: grown on demand, bounded, reused.
#ifndef LYNXGLADE_CONNECTION_CONNECTION_THREADS_H_
#define LYNXGLADE_CONNECTION_CONNECTION_THREADS_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lynxglade::connection {

// Runs jobs on at most `bound` threads. A job that finds all of them taken
// runs on one further thread with OverflowMode() true, which keeps it short.
class ConnectionThreads {
 public:
  using Job = std::function<void()>;

  explicit ConnectionThreads(std::size_t bound);
  // Shutdown().
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Thread-safe; never blocks on a running job.
  void Run(Job job);
  // Waits for every job, then ends the threads.
  void Shutdown();

  std::size_t busy() const noexcept;
  std::size_t overflowed() const noexcept;

  // True on the thread that turns connections away.
  static bool OverflowMode() noexcept;

 private:
  void WorkerLoop();
  void OverflowLoop();

  const std::size_t bound_;
  mutable std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable overflow_work_;
  std::deque<Job> jobs_;
  std::deque<Job> overflow_jobs_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  std::size_t busy_ = 0;
  std::size_t overflowed_ = 0;
  bool stopping_ = false;
  std::thread overflow_thread_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CONNECTION_THREADS_H_
