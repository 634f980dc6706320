#include "request/admission.h"

#include <algorithm>
#include <condition_variable>
#include <utility>
#include <vector>

namespace lynxglade::request {

namespace {

// How often a waiting thread asks whether its caller is still there.
constexpr base::Duration kCallerCheck = std::chrono::milliseconds(250);

// Tokens of a target are counted only when it is an engine.
bool CountsTokens(const Target& target) noexcept {
  return target.role != EngineRole::kPlain;
}

double KnownOr(double rate, double otherwise) noexcept {
  return rate > 0 ? rate : otherwise;
}

}  // namespace

// One service's queue and the threads in it.
struct Ticket::Line {
  // A waiting thread; lives on its stack.
  struct Waiter {
    std::condition_variable changed;
    bool granted = false;
    std::optional<Refusal> refused;
  };

  explicit Line(const FairQueueOptions& options) : queue(options) {}

  std::mutex mutex;
  FairQueue queue;
  std::map<EntryId, Waiter*> waiters;
};

Ticket::Ticket(Admission* admission, Line* line, EntryId id) noexcept
    : admission_(admission), line_(line), id_(id) {}

Ticket::Ticket(Ticket&& other) noexcept
    : admission_(std::exchange(other.admission_, nullptr)),
      line_(other.line_),
      id_(other.id_),
      actual_(other.actual_) {}

Ticket& Ticket::operator=(Ticket&& other) noexcept {
  if (this != &other) {
    Release();
    admission_ = std::exchange(other.admission_, nullptr);
    line_ = other.line_;
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
    std::exchange(admission_, nullptr)->Complete(*line_, id_, actual_);
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
          KnownOr(it.load.prefill_tokens_per_s,
                  options.engine_rates.prefill_tokens_per_s);
    }
    if (it.role != EngineRole::kPrefill) {
      sum.rates.decode_tokens_per_s +=
          KnownOr(it.load.decode_tokens_per_s,
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
  Line& line = *FindLine(service, true);
  const std::scoped_lock lock(line.mutex);
  line.queue.SetCapacity(capacity);
  Pump(line);
}

void Admission::SetShares(const base::ServiceName& service,
                          std::map<base::ContractId, double> shares) {
  Line& line = *FindLine(service, true);
  const std::scoped_lock lock(line.mutex);
  line.queue.SetShares(std::move(shares));
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
    return refuse(RefusalReason::kStopping, "this instance is stopping");
  }
  Line* line = FindLine(request.service, false);
  if (line == nullptr) {
    return refuse(RefusalReason::kNoTarget, "no capacity for this service now");
  }
  const QueueItem item{request.contract, request.priority, request.worth,
                       request.deadline, cost};
  Line::Waiter waiter;
  std::unique_lock lock(line->mutex);
  std::vector<DroppedRequest> dropped;
  const auto id = line->queue.Enqueue(item, clock_(), refusal, &dropped);
  if (id) {
    line->waiters.emplace(*id, &waiter);
  }
  Notify(*line, dropped);
  Pump(*line);
  if (!id) {
    return std::nullopt;
  }
  while (!waiter.granted && !waiter.refused) {
    if (caller_gone) {
      // The hook may do I/O: never under the lock.
      lock.unlock();
      const bool gone = caller_gone();
      lock.lock();
      if (waiter.granted || waiter.refused) {
        break;
      }
      if (gone) {
        line->waiters.erase(*id);
        line->queue.Cancel(*id);
        return refuse(RefusalReason::kCallerGone, "the caller went away");
      }
    }
    const base::Time expiry = line->queue.ExpiryOf(*id).value_or(item.deadline);
    base::Duration pause = std::max(expiry - clock_(), base::Duration::zero());
    if (caller_gone) {
      pause = std::min(pause, kCallerCheck);
    }
    waiter.changed.wait_for(lock, pause);
    Pump(*line);
  }
  if (waiter.refused) {
    *refusal = *waiter.refused;
    return std::nullopt;
  }
  return Ticket(this, line, *id);
}

void Admission::Stop() noexcept {
  stopped_.store(true, std::memory_order_relaxed);
}

std::size_t Admission::waiting() const {
  const std::scoped_lock lock(lines_mutex_);
  std::size_t n = 0;
  for (const auto& [service, line] : lines_) {
    const std::scoped_lock line_lock(line->mutex);
    n += line->queue.waiting();
  }
  return n;
}

int Admission::running() const {
  const std::scoped_lock lock(lines_mutex_);
  int n = 0;
  for (const auto& [service, line] : lines_) {
    const std::scoped_lock line_lock(line->mutex);
    n += line->queue.running();
  }
  return n;
}

Admission::Line* Admission::FindLine(const base::ServiceName& service,
                                     bool make) {
  const std::scoped_lock lock(lines_mutex_);
  const auto it = lines_.find(service);
  if (it != lines_.end()) {
    return it->second.get();
  }
  if (!make) {
    return nullptr;
  }
  return lines_.emplace(service, std::make_unique<Line>(options_))
      .first->second.get();
}

void Admission::Pump(Line& line) {
  const base::Time now = clock_();
  std::vector<DroppedRequest> dropped;
  line.queue.Expire(now, &dropped);
  Notify(line, dropped);
  while (const auto id = line.queue.Dequeue(now)) {
    const auto it = line.waiters.find(*id);
    it->second->granted = true;
    it->second->changed.notify_one();
    line.waiters.erase(it);
  }
}

void Admission::Notify(Line& line, const std::vector<DroppedRequest>& dropped) {
  for (const DroppedRequest& drop : dropped) {
    const auto it = line.waiters.find(drop.id);
    it->second->refused = drop.refusal;
    it->second->changed.notify_one();
    line.waiters.erase(it);
  }
}

void Admission::Complete(Line& line,
                         EntryId id,
                         const std::optional<Cost>& actual) {
  const std::scoped_lock lock(line.mutex);
  line.queue.Complete(id, actual, clock_());
  Pump(line);
}

}  // namespace lynxglade::request
