#include "request/fair_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <string>

namespace lynxglade::request {

namespace {

constexpr double kMinWork = 1e-6;
constexpr double kMinShare = 1e-6;
// Minimum saturated time for a throughput sample, and bounds of the average.
constexpr base::Duration kThroughputWindow = std::chrono::seconds(1);
constexpr double kMinThroughput = 0.05;
constexpr double kMaxThroughput = 20;

double Seconds(base::Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

base::Duration FromSeconds(double seconds) noexcept {
  // Limits the result to a day, so that the conversion cannot overflow.
  constexpr double kMaxSeconds = 86400;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

std::string MessageFor(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kDeadlinePassed:
      return "the deadline passed before the request was queued";
    case RefusalReason::kDeadlineHopeless:
      return "the estimated queue wait exceeds the deadline";
    case RefusalReason::kQueueFull:
      return "the queue is full and holds no request of lower worth";
    case RefusalReason::kQueueTimeout:
      return "the request waited until its deadline could not be met";
    case RefusalReason::kShed:
      return "evicted from the queue in favour of another request";
    default:
      return "the service has no capacity";
  }
}

}  // namespace

FairQueue::FairQueue(FairQueueOptions options)
    : options_(options), mean_run_s_(Seconds(options.initial_run_time)) {}

void FairQueue::SetCapacity(const Capacity& capacity) {
  capacity_ = capacity;
}

void FairQueue::SetShares(std::map<base::ContractId, double> shares) {
  shares_ = std::move(shares);
}

std::optional<EntryId> FairQueue::Enqueue(
    const QueueItem& item,
    base::Time now,
    Refusal* refusal,
    std::vector<DroppedRequest>* dropped) {
  const auto refuse = [&](RefusalReason reason, base::Duration retry_after) {
    *refusal = MakeRefusal(reason, retry_after);
    return std::nullopt;
  };
  if (item.deadline <= now) {
    return refuse(RefusalReason::kDeadlinePassed, {});
  }
  if (capacity_.concurrency <= 0) {
    return refuse(RefusalReason::kNoTarget, options_.min_retry_after);
  }
  const double work = WorkOf(item.cost);
  const base::Duration wait = EstimateWait(item.contract, item.priority);
  const base::Duration excess = now + wait + RunTime(work) - item.deadline;
  // Without a wait, accept the request even if its estimated run time exceeds
  // the deadline: only a run can correct a wrong estimate.
  if (wait > base::Duration::zero() && excess > base::Duration::zero() &&
      !EvictForDeadline(item, work, excess, dropped)) {
    return refuse(RefusalReason::kDeadlineHopeless, excess);
  }
  if (entries_.size() >= options_.max_waiting &&
      !EvictForSpace(item, work, dropped)) {
    return refuse(RefusalReason::kQueueFull, wait);
  }
  const EntryId id(next_id_++);
  Flow& flow = FindOrCreateFlow(item.contract);
  if (flow.waiting == 0) {
    flow.virtual_time = std::max(flow.virtual_time, virtual_now_);
  }
  PriorityLevel& level =
      flow.levels[static_cast<std::size_t>(PriorityIndex(item))];
  level.ids.insert(id);
  level.work += work;
  ++flow.waiting;
  const base::Time expiry = std::max(now, item.deadline - RunTime(work));
  entries_.emplace(id, Entry{item, work, expiry});
  expiries_.emplace(expiry, id);
  return id;
}

std::optional<EntryId> FairQueue::Dequeue(base::Time now) {
  if (entries_.empty() || running() >= capacity_.concurrency) {
    return std::nullopt;
  }
  Flow* next = nullptr;
  for (auto& [contract, flow] : flows_) {
    if (flow.waiting > 0 &&
        (next == nullptr || flow.virtual_time < next->virtual_time)) {
      next = &flow;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  const auto level = std::ranges::find_if(
      next->levels, [](const PriorityLevel& it) { return !it.ids.empty(); });
  const EntryId id = *level->ids.begin();
  const Entry entry = entries_.at(id);
  Remove(id);
  virtual_now_ = next->virtual_time;
  next->virtual_time += entry.work / ShareOf(entry.item.contract);
  ++next->running;
  running_.emplace(id, Running{entry.item.contract, entry.work, now});
  if (!IsSaturated()) {
    saturated_ = {};
  } else if (!saturated_.since) {
    saturated_ = {now, 0};
  }
  return id;
}

void FairQueue::Expire(base::Time now, std::vector<DroppedRequest>* dropped) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const EntryId id = expiries_.begin()->second;
    const Entry& entry = entries_.at(id);
    Drop(id, RefusalReason::kQueueTimeout,
         EstimateWait(entry.item.contract, entry.item.priority), dropped);
  }
}

void FairQueue::Cancel(EntryId id) {
  if (entries_.contains(id)) {
    Remove(id);
  }
}

void FairQueue::Complete(EntryId id,
                         const std::optional<Cost>& actual,
                         base::Time now) {
  const auto it = running_.find(id);
  if (it == running_.end()) {
    return;
  }
  Running run = it->second;
  running_.erase(it);
  Flow& flow = FindOrCreateFlow(run.contract);
  --flow.running;
  if (actual) {
    const bool ran = *actual != Cost{};
    const double work = ran ? WorkOf(*actual) : 0;
    flow.virtual_time += (work - run.work) / ShareOf(run.contract);
    run.work = work;
  }
  if (run.work > 0) {
    UpdateEstimates(run, now);
  }
  if (running_.empty() && entries_.empty()) {
    // The queue is idle: drop all virtual times, so that work done while there
    // was no contention is not charged later.
    flows_.clear();
    virtual_now_ = 0;
  }
}

std::optional<base::Time> FairQueue::ExpiryOf(EntryId id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? std::nullopt : std::optional(it->second.expiry);
}

base::Duration FairQueue::EstimateWait(const base::ContractId& contract,
                                       Priority priority) const {
  const bool free = running() < capacity_.concurrency;
  if (free && entries_.empty()) {
    return {};
  }
  double ahead = 0;
  const auto flow = flows_.find(contract);
  if (flow != flows_.end()) {
    const int level = std::clamp(priority.value(), 0, kPriorities - 1);
    for (int i = 0; i <= level; ++i) {
      ahead += flow->second.levels[static_cast<std::size_t>(i)].work;
    }
    // A contract that ran ahead of its share waits for the others to catch up.
    const double virtual_lead = flow->second.virtual_time - virtual_now_;
    ahead += std::max(0.0, virtual_lead) * ShareOf(contract);
  }
  return FromSeconds(ahead / ThroughputOf(contract));
}

double FairQueue::WorkOf(const Cost& cost) const noexcept {
  const bool counts_tokens = capacity_.rates.prefill_tokens_per_s > 0 ||
                             capacity_.rates.decode_tokens_per_s > 0;
  const double work = counts_tokens
                          ? WorkSeconds(cost, capacity_.rates)
                          : mean_run_s_ / std::max(1, capacity_.concurrency);
  return std::max(work, kMinWork);
}

int FairQueue::PriorityIndex(const QueueItem& item) noexcept {
  return std::clamp(item.priority.value(), 0, kPriorities - 1);
}

double FairQueue::ShareOf(const base::ContractId& contract) const {
  const auto it = shares_.find(contract);
  const double share =
      it == shares_.end() ? options_.default_share : it->second;
  return std::max(share, kMinShare);
}

double FairQueue::ThroughputOf(const base::ContractId& contract) const {
  const double own = ShareOf(contract);
  double all = own;
  for (const auto& [id, flow] : flows_) {
    if (flow.waiting > 0 && id != contract) {
      all += ShareOf(id);
    }
  }
  return throughput_ * own / all;
}

base::Duration FairQueue::RunTime(double work) const noexcept {
  return run_ratio_ ? FromSeconds(work * *run_ratio_) : base::Duration::zero();
}

bool FairQueue::IsSaturated() const noexcept {
  return !entries_.empty() && running() >= capacity_.concurrency;
}

FairQueue::Flow& FairQueue::FindOrCreateFlow(const base::ContractId& contract) {
  const auto it = flows_.find(contract);
  if (it != flows_.end()) {
    return it->second;
  }
  // Remove idle contracts whose virtual time has been reached: a new flow would
  // start at the same virtual time.
  std::erase_if(flows_, [this](const auto& flow) {
    return flow.second.waiting == 0 && flow.second.running == 0 &&
           flow.second.virtual_time <= virtual_now_;
  });
  return flows_[contract];
}

void FairQueue::Remove(EntryId id) {
  const auto it = entries_.find(id);
  const Entry& entry = it->second;
  Flow& flow = flows_.at(entry.item.contract);
  PriorityLevel& level =
      flow.levels[static_cast<std::size_t>(PriorityIndex(entry.item))];
  level.ids.erase(id);
  // Reset to exactly 0 when empty, against accumulated rounding errors.
  level.work = level.ids.empty() ? 0 : level.work - entry.work;
  --flow.waiting;
  expiries_.erase({entry.expiry, id});
  entries_.erase(it);
}

void FairQueue::Drop(EntryId id,
                     RefusalReason reason,
                     base::Duration retry_after,
                     std::vector<DroppedRequest>* dropped) {
  dropped->push_back({id, MakeRefusal(reason, retry_after)});
  Remove(id);
}

Refusal FairQueue::MakeRefusal(RefusalReason reason,
                               base::Duration retry_after) const {
  Refusal refusal;
  refusal.reason = reason;
  refusal.outcome = base::Outcome::kNotRun;
  refusal.message = MessageFor(reason);
  if (reason != RefusalReason::kDeadlinePassed) {
    refusal.retry_after = std::clamp(retry_after, options_.min_retry_after,
                                     options_.max_retry_after);
  }
  return refusal;
}

bool FairQueue::EvictForSpace(const QueueItem& item,
                              double work,
                              std::vector<DroppedRequest>* dropped) {
  // The request is taken from the contract with the most waiting work relative
  // to its share.
  const auto burden = [this](const auto& it) {
    double waiting = 0;
    for (const PriorityLevel& level : it.second.levels) {
      waiting += level.work;
    }
    return waiting / ShareOf(it.first);
  };
  const auto fullest = std::ranges::max_element(flows_, {}, burden);
  const bool is_own = fullest->first == item.contract;
  const double density =
      is_own ? item.worth.value() / work : std::numeric_limits<double>::max();
  // Least urgent priority first; within it, the lowest worth per work. The
  // item's own contract loses only less urgent requests, or equally urgent ones
  // of lower density.
  for (int i = kPriorities - 1; i >= (is_own ? PriorityIndex(item) : 0); --i) {
    const auto victims = EntriesBelowDensity(
        fullest->second.levels[static_cast<std::size_t>(i)],
        i > PriorityIndex(item) ? std::numeric_limits<double>::max() : density);
    if (!victims.empty()) {
      Drop(victims.front(), RefusalReason::kShed,
           EstimateWait(fullest->first, Priority(i)), dropped);
      return true;
    }
  }
  return false;
}

bool FairQueue::EvictForDeadline(const QueueItem& item,
                                 double work,
                                 base::Duration excess,
                                 std::vector<DroppedRequest>* dropped) {
  const auto flow = flows_.find(item.contract);
  if (flow == flows_.end()) {
    return false;
  }
  const double needed = Seconds(excess) * ThroughputOf(item.contract);
  const PriorityLevel& level =
      flow->second.levels[static_cast<std::size_t>(PriorityIndex(item))];
  double freed = 0;
  double lost = 0;
  std::vector<EntryId> victims;
  for (const EntryId id :
       EntriesBelowDensity(level, item.worth.value() / work)) {
    const Entry& entry = entries_.at(id);
    freed += entry.work;
    lost += entry.item.worth.value();
    victims.push_back(id);
    if (freed >= needed || lost >= item.worth.value()) {
      break;
    }
  }
  if (freed < needed || lost >= item.worth.value()) {
    return false;
  }
  for (const EntryId id : victims) {
    Drop(id, RefusalReason::kShed, EstimateWait(item.contract, item.priority),
         dropped);
  }
  return true;
}

std::vector<EntryId> FairQueue::EntriesBelowDensity(const PriorityLevel& level,
                                                    double density) const {
  std::vector<EntryId> ids;
  std::ranges::copy_if(level.ids, std::back_inserter(ids),
                       [&](EntryId id) { return DensityOf(id) < density; });
  std::ranges::sort(ids, {}, [this](EntryId id) { return DensityOf(id); });
  return ids;
}

double FairQueue::DensityOf(EntryId id) const {
  const Entry& entry = entries_.at(id);
  return entry.item.worth.value() / entry.work;
}

void FairQueue::UpdateEstimates(const Running& run, base::Time now) {
  const double weight = options_.smoothing;
  const double seconds = Seconds(now - run.started);
  const double ratio = seconds / run.work;
  run_ratio_ =
      run_ratio_ ? *run_ratio_ + weight * (ratio - *run_ratio_) : ratio;
  mean_run_s_ += weight * (seconds - mean_run_s_);
  if (!saturated_.since) {
    return;
  }
  saturated_.work += run.work;
  const base::Duration elapsed = now - *saturated_.since;
  if (elapsed >= kThroughputWindow) {
    const double sample = saturated_.work / Seconds(elapsed);
    throughput_ = std::clamp(throughput_ + weight * (sample - throughput_),
                             kMinThroughput, kMaxThroughput);
    saturated_ = {now, 0};
  }
}

}  // namespace lynxglade::request
