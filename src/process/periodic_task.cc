#include "process/periodic_task.h"

#include <utility>

namespace lynxglade::process {

PeriodicTask::PeriodicTask(base::Duration interval, std::function<void()> job)
    : interval_(interval), job_(std::move(job)), thread_([this] { Loop(); }) {}

PeriodicTask::~PeriodicTask() {
  Stop();
}

void PeriodicTask::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PeriodicTask::Loop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    job_();
    lock.lock();
    stop_.wait_for(lock, interval_, [this] { return stopping_; });
  }
}

}  // namespace lynxglade::process
