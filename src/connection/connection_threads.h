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
// runs on one further thread in overflow mode, which keeps it short. When too
// many wait for that, a job runs at once, on the thread that brought it, in
// drop mode, in which it must do nothing but let go.
class ConnectionThreads {
 public:
  using Job = std::function<void()>;

  enum class Mode { kServe, kOverflow, kDrop };

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
  std::size_t dropped() const noexcept;
  // Most threads are taken: idle connections should make room.
  bool crowded() const noexcept;

  // What the calling thread's job may do.
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
