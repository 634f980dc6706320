// Bounded thread pool for connections; threads are started on demand.
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

// Runs jobs on at most `bound` threads. If all are busy, a job runs in overflow
// mode on one additional thread and must be short. If too many jobs wait for
// that thread, a job runs in drop mode on the thread that called Run() and must
// only release its resources.
class ConnectionThreads {
 public:
  using Job = std::function<void()>;

  enum class Mode { kServe, kOverflow, kDrop };

  explicit ConnectionThreads(std::size_t bound);
  // Calls Shutdown().
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Thread-safe. Does not wait for running jobs.
  void Run(Job job);
  // Waits for all jobs, then ends the threads.
  void Shutdown();

  std::size_t busy() const noexcept;
  std::size_t overflowed() const noexcept;
  std::size_t dropped() const noexcept;
  // Whether most threads are busy, so that idle connections should be closed.
  bool IsNearlyFull() const noexcept;

  // Mode of the job that runs on the calling thread.
  static Mode CurrentMode() noexcept;

 private:
  static void Drop(const Job& job);
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
  std::size_t dropped_ = 0;
  bool stopping_ = false;
  std::thread overflow_thread_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CONNECTION_THREADS_H_
