#include "request/admission.h"

#include <algorithm>
#include <condition_variable>
#include <utility>
#include <vector>

namespace lynxglade::request {

namespace {

// Interval at which a waiting thread polls whether its caller disconnected.
constexpr base::Duration kCallerCheckInterval = std::chrono::milliseconds(250);

// Only engines count tokens; plain targets do not.
bool CountsTokens(const Target& target) noexcept {
  return target.role != EngineRole::kPlain;
}

double ReportedOr(double rate, double fallback) noexcept {
  return rate > 0 ? rate : fallback;
}

}  // namespace

// One service's queue and the threads that wait in it.
struct Ticket::ServiceQueue {
  // A waiting thread, on whose stack this object is allocated.
  struct Waiter {
    std::condition_variable changed;
    bool granted = false;
    std::optional<Refusal> refused;
  };

  explicit ServiceQueue(const FairQueueOptions& options) : queue(options) {}

  std::mutex mutex;
  FairQueue queue;
  std::map<EntryId, Waiter*> waiters;
};

Ticket::Ticket(Admission* admission,
               ServiceQueue* service_queue,
               EntryId id) noexcept
    : admission_(admission), service_queue_(service_queue), id_(id) {}

Ticket::Ticket(Ticket&& other) noexcept
    : admission_(std::exchange(other.admission_, nullptr)),
      service_queue_(other.service_queue_),
      id_(other.id_),
      actual_(other.actual_) {}

Ticket& Ticket::operator=(Ticket&& other) noexcept {
  if (this != &other) {
    Release();
    admission_ = std::exchange(other.admission_, nullptr);
    service_queue_ = other.service_queue_;
    id_ = other.id_;
    actual_ = other.actual_;
  }
  return *this;
}

Ticket::~Ticket() {
  Release();
}

void Ticket::Release() noexcept {
  if (admission_ != nullptr) {
    std::exchange(admission_, nullptr)->Complete(*service_queue_, id_, actual_);
  }
}

Capacity CapacityOf(const TargetIndex& index,
                    const base::ServiceName& service,
                    std::size_t entry_instances,
                    const CapacityOptions& options) {
  Capacity sum;
  for (const Target& it : index.table().targets) {
    if (it.service != service || it.state != TargetState::kServing) {
      continue;
    }
    if (!CountsTokens(it)) {
      sum.concurrency += options.requests_per_plain_target;
      continue;
    }
    sum.concurrency += options.requests_per_engine;
    if (it.role != EngineRole::kDecode) {
      sum.rates.prefill_tokens_per_s +=
          ReportedOr(it.load.prefill_tokens_per_s,
                     options.engine_rates.prefill_tokens_per_s);
    }
    if (it.role != EngineRole::kPrefill) {
      sum.rates.decode_tokens_per_s +=
          ReportedOr(it.load.decode_tokens_per_s,
                     options.engine_rates.decode_tokens_per_s);
    }
  }
  const auto n = static_cast<double>(std::max<std::size_t>(entry_instances, 1));
  sum.rates.prefill_tokens_per_s /= n;
  sum.rates.decode_tokens_per_s /= n;
  if (sum.concurrency > 0) {
    sum.concurrency = std::max(1, static_cast<int>(sum.concurrency / n));
  }
  return sum;
}

std::map<base::ContractId, double> SharesOf(
    const version::Configuration& configuration,
    const base::ServiceName& service) {
  std::map<base::ContractId, double> shares;
  for (const auto& [id, contract] : configuration.contracts) {
    for (const version::Intent& it : contract.intents) {
      if (it.service == service && it.share > 0) {
        shares[id] += it.share;
      }
    }
  }
  return shares;
}

Admission::Admission(FairQueueOptions options, base::Clock clock)
    : options_(options), clock_(std::move(clock)) {}

Admission::~Admission() = default;

void Admission::SetCapacity(const base::ServiceName& service,
                            const Capacity& capacity) {
  ServiceQueue& service_queue = *FindQueue(service, true);
  const std::scoped_lock lock(service_queue.mutex);
  service_queue.queue.SetCapacity(capacity);
  DispatchReady(service_queue);
}

void Admission::SetShares(const base::ServiceName& service,
                          std::map<base::ContractId, double> shares) {
  ServiceQueue& service_queue = *FindQueue(service, true);
  const std::scoped_lock lock(service_queue.mutex);
  service_queue.queue.SetShares(std::move(shares));
}

std::optional<Ticket> Admission::Admit(
    const Request& request,
    const Cost& cost,
    Refusal* refusal,
    const std::function<bool()>& caller_gone) {
  const auto refuse = [refusal](RefusalReason reason, const char* message) {
    *refusal = {reason, base::Outcome::kNotRun, message, std::nullopt};
    return std::nullopt;
  };
  if (stopped_.load(std::memory_order_relaxed)) {
    return refuse(RefusalReason::kStopping, "the instance is shutting down");
  }
  ServiceQueue* service_queue = FindQueue(request.service, false);
  if (service_queue == nullptr) {
    return refuse(RefusalReason::kNoTarget, "the service has no capacity");
  }
  const QueueItem item{request.contract, request.priority, request.worth,
                       request.deadline, cost};
  ServiceQueue::Waiter waiter;
  std::unique_lock lock(service_queue->mutex);
  std::vector<DroppedRequest> dropped;
  const auto id =
      service_queue->queue.Enqueue(item, clock_(), refusal, &dropped);
  if (id) {
    service_queue->waiters.emplace(*id, &waiter);
  }
  Notify(*service_queue, dropped);
  DispatchReady(*service_queue);
  if (!id) {
    return std::nullopt;
  }
  while (!waiter.granted && !waiter.refused) {
    if (caller_gone) {
      // The hook may do I/O, so call it without the lock.
      lock.unlock();
      const bool gone = caller_gone();
      lock.lock();
      if (waiter.granted || waiter.refused) {
        break;
      }
      if (gone) {
        service_queue->waiters.erase(*id);
        service_queue->queue.Cancel(*id);
        return refuse(RefusalReason::kCallerGone, "the caller disconnected");
      }
    }
    const base::Time expiry =
        service_queue->queue.ExpiryOf(*id).value_or(item.deadline);
    base::Duration timeout =
        std::max(expiry - clock_(), base::Duration::zero());
    if (caller_gone) {
      timeout = std::min(timeout, kCallerCheckInterval);
    }
    waiter.changed.wait_for(lock, timeout);
    DispatchReady(*service_queue);
  }
  if (waiter.refused) {
    *refusal = *waiter.refused;
    return std::nullopt;
  }
  return Ticket(this, service_queue, *id);
}

void Admission::Stop() noexcept {
  stopped_.store(true, std::memory_order_relaxed);
}

std::size_t Admission::waiting() const {
  const std::scoped_lock lock(queues_mutex_);
  std::size_t n = 0;
  for (const auto& [service, service_queue] : queues_) {
    const std::scoped_lock queue_lock(service_queue->mutex);
    n += service_queue->queue.waiting();
  }
  return n;
}

int Admission::running() const {
  const std::scoped_lock lock(queues_mutex_);
  int n = 0;
  for (const auto& [service, service_queue] : queues_) {
    const std::scoped_lock queue_lock(service_queue->mutex);
    n += service_queue->queue.running();
  }
  return n;
}

Admission::ServiceQueue* Admission::FindQueue(const base::ServiceName& service,
                                              bool create) {
  const std::scoped_lock lock(queues_mutex_);
  const auto it = queues_.find(service);
  if (it != queues_.end()) {
    return it->second.get();
  }
  if (!create) {
    return nullptr;
  }
  return queues_.emplace(service, std::make_unique<ServiceQueue>(options_))
      .first->second.get();
}

void Admission::DispatchReady(ServiceQueue& service_queue) {
  const base::Time now = clock_();
  std::vector<DroppedRequest> dropped;
  service_queue.queue.Expire(now, &dropped);
  Notify(service_queue, dropped);
  while (const auto id = service_queue.queue.Dequeue(now)) {
    const auto it = service_queue.waiters.find(*id);
    it->second->granted = true;
    it->second->changed.notify_one();
    service_queue.waiters.erase(it);
  }
}

void Admission::Notify(ServiceQueue& service_queue,
                       const std::vector<DroppedRequest>& dropped) {
  for (const DroppedRequest& drop : dropped) {
    const auto it = service_queue.waiters.find(drop.id);
    it->second->refused = drop.refusal;
    it->second->changed.notify_one();
    service_queue.waiters.erase(it);
  }
}

void Admission::Complete(ServiceQueue& service_queue,
                         EntryId id,
                         const std::optional<Cost>& actual) {
  const std::scoped_lock lock(service_queue.mutex);
  service_queue.queue.Complete(id, actual, clock_());
  DispatchReady(service_queue);
}

}  // namespace lynxglade::request
