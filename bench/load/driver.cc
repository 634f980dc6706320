#include "load/driver.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace lynxglade::bench {

namespace {

// Distributes requests to threads; starts a thread when all others are busy.
class CallerPool {
 public:
  CallerPool(const DriverOptions& options, base::Time start, Tally* tally)
      : options_(options), start_(start), tally_(tally) {}
  CallerPool(const CallerPool&) = delete;
  CallerPool& operator=(const CallerPool&) = delete;

  void Send(const TraceItem* item) {
    const std::lock_guard lock(mutex_);
    if (idle_ <= queue_.size() && threads_.size() >= options_.max_in_flight) {
      tally_->NoteUnsent(*item);
      return;
    }
    queue_.push_back(item);
    if (idle_ < queue_.size()) {
      threads_.emplace_back([this] { Run(); });
      ++idle_;
    }
    wake_.notify_one();
  }

  // Waits for every request to end.
  void Join() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    wake_.notify_all();
    for (std::thread& it : threads_) {
      it.join();
    }
  }

  std::size_t InFlight() const {
    const std::lock_guard lock(mutex_);
    return busy_ + queue_.size();
  }

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return closed_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      const TraceItem* item = queue_.front();
      queue_.pop_front();
      --idle_;
      ++busy_;
      lock.unlock();
      RunOne(*item);
      lock.lock();
      --busy_;
      ++idle_;
    }
  }

  void RunOne(const TraceItem& item) {
    const std::string body = MakeBody(options_.workload, item);
    const base::Time due = start_ + item.at;
    tally_->NoteSendLag(
        std::chrono::duration<double>(base::BootClock::now() - due).count());
    tally_->Finish(item, Call(NextEntry(), options_.workload, item, body, due,
                              options_.grace_period));
    if (item.repeated) {
      tally_->FinishRepeat(item,
                           Call(NextEntry(), options_.workload, item, body,
                                base::BootClock::now(), options_.grace_period));
    }
  }

  const Endpoint& NextEntry() {
    return options_.entries[next_entry_++ % options_.entries.size()];
  }

  const DriverOptions& options_;
  const base::Time start_;
  Tally* const tally_;
  std::atomic<std::size_t> next_entry_{0};

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<const TraceItem*> queue_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;  // threads without a request, new ones included
  std::size_t busy_ = 0;
  bool closed_ = false;
};

}  // namespace

void PlayTrace(const DriverOptions& options,
               const std::vector<TraceItem>& trace,
               const std::atomic<bool>& stop,
               const ProgressHook& on_progress,
               Tally* tally) {
  const base::Time start = base::BootClock::now();
  CallerPool pool(options, start, tally);
  std::atomic<bool> ended{false};
  std::thread progress([&] {
    base::Time next = start;
    while (!ended) {
      next += std::chrono::seconds(1);
      while (!ended && base::BootClock::now() < next) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      on_progress(base::BootClock::now() - start, pool.InFlight());
    }
  });
  for (const TraceItem& item : trace) {
    while (!stop && base::BootClock::now() < start + item.at) {
      const base::Duration left = start + item.at - base::BootClock::now();
      std::this_thread::sleep_for(
          std::min<base::Duration>(left, std::chrono::milliseconds(100)));
    }
    if (stop) {
      break;
    }
    tally->Offer(item);
    pool.Send(&item);
  }
  pool.Join();
  ended = true;
  progress.join();
}

}  // namespace lynxglade::bench
