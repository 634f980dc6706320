#include "process/call_pool.h"

#include <algorithm>
#include <utility>

namespace lynxglade::process {

CallPool::CallPool(int threads) {
  for (int i = 0; i < std::max(threads, 1); ++i) {
    threads_.emplace_back([this] { RunWorker(); });
  }
}

CallPool::~CallPool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
}

void CallPool::Run(std::function<void()> call) {
  {
    std::lock_guard lock(mutex_);
    calls_.push_back(std::move(call));
  }
  wake_.notify_one();
}

void CallPool::RunWorker() {
  while (true) {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return stopping_ || !calls_.empty(); });
    if (calls_.empty()) {
      return;
    }
    const auto call = std::move(calls_.front());
    calls_.pop_front();
    lock.unlock();
    call();
  }
}

}  // namespace lynxglade::process
