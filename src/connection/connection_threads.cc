#include "connection/connection_threads.h"

#include <utility>

namespace lynxglade::connection {

namespace {

// Limit on connections that wait for the overflow answer.
constexpr std::size_t kMaxOverflowJobs = 64;

thread_local ConnectionThreads::Mode current_mode =
    ConnectionThreads::Mode::kServe;

}  // namespace

ConnectionThreads::ConnectionThreads(std::size_t bound)
    : bound_(bound), overflow_thread_([this] { OverflowLoop(); }) {}

ConnectionThreads::~ConnectionThreads() {
  Shutdown();
}

void ConnectionThreads::Run(Job job) {
  std::unique_lock lock(mutex_);
  if (busy_ + jobs_.size() >= bound_) {
    if (overflow_jobs_.size() >= kMaxOverflowJobs) {
      ++dropped_;
      lock.unlock();
      Drop(job);
      return;
    }
    ++overflowed_;
    overflow_jobs_.push_back(std::move(job));
    overflow_work_.notify_one();
    return;
  }
  jobs_.push_back(std::move(job));
  if (idle_ >= jobs_.size()) {
    work_.notify_one();
    return;
  }
  threads_.emplace_back([this] { WorkerLoop(); });
}

void ConnectionThreads::Shutdown() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_.notify_all();
  overflow_work_.notify_all();
  // No threads are added any more, since the accept loop has ended.
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  if (overflow_thread_.joinable()) {
    overflow_thread_.join();
  }
}

std::size_t ConnectionThreads::busy() const noexcept {
  std::lock_guard lock(mutex_);
  return busy_;
}

std::size_t ConnectionThreads::overflowed() const noexcept {
  std::lock_guard lock(mutex_);
  return overflowed_;
}

std::size_t ConnectionThreads::dropped() const noexcept {
  std::lock_guard lock(mutex_);
  return dropped_;
}

bool ConnectionThreads::IsNearlyFull() const noexcept {
  std::lock_guard lock(mutex_);
  return busy_ * 8 >= bound_ * 7;
}

ConnectionThreads::Mode ConnectionThreads::CurrentMode() noexcept {
  return current_mode;
}

void ConnectionThreads::Drop(const Job& job) {
  current_mode = Mode::kDrop;
  job();
  current_mode = Mode::kServe;
}

void ConnectionThreads::WorkerLoop() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    work_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) {
      return;
    }
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    ++busy_;
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
    --busy_;
  }
}

void ConnectionThreads::OverflowLoop() {
  current_mode = Mode::kOverflow;
  std::unique_lock lock(mutex_);
  while (true) {
    overflow_work_.wait(
        lock, [this] { return stopping_ || !overflow_jobs_.empty(); });
    if (overflow_jobs_.empty()) {
      return;
    }
    const Job job = std::move(overflow_jobs_.front());
    overflow_jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

}  // namespace lynxglade::connection
