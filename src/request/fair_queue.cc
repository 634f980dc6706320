#include "request/fair_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <string>

namespace lynxglade::request {

namespace {

constexpr double kLeastWork = 1e-6;
constexpr double kLeastShare = 1e-6;
// Saturated time from which a measurement of speed counts, and its bounds.
constexpr base::Duration kSpeedWindow = std::chrono::seconds(1);
constexpr double kMinSpeed = 0.05;
constexpr double kMaxSpeed = 20;

double Seconds(base::Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

base::Duration FromSeconds(double seconds) noexcept {
  // A day stands for all that is longer, far from overflow.
  constexpr double kLongest = 86400;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongest)));
}

std::string MessageFor(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kDeadlinePassed:
      return "the deadline passed before the request could be queued";
    case RefusalReason::kDeadlineHopeless:
      return "the contract's queue is too long for this deadline";
    case RefusalReason::kQueueFull:
      return "the queue is full of requests of no less worth";
    case RefusalReason::kQueueTimeout:
      return "the deadline could no longer be met while waiting";
    case RefusalReason::kShed:
      return "dropped from the queue for requests of more worth";
    default:
      return "no capacity for this service now";
  }
}

}  // namespace

FairQueue::FairQueue(FairQueueOptions options)
    : options_(options), unit_run_s_(Seconds(options.initial_run_time)) {}

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
  // With no wait ahead it is tried even if it looks too long: only a run can
  // correct an estimate that is wrong.
  if (wait > base::Duration::zero() && excess > base::Duration::zero() &&
      !MakeTime(item, work, excess, dropped)) {
    return refuse(RefusalReason::kDeadlineHopeless, excess);
  }
  if (entries_.size() >= options_.max_waiting &&
      !MakeRoom(item, work, dropped)) {
    return refuse(RefusalReason::kQueueFull, wait);
  }
  const EntryId id(next_id_++);
  Flow& flow = TouchFlow(item.contract);
  if (flow.waiting == 0) {
    flow.virtual_time = std::max(flow.virtual_time, virtual_now_);
  }
  Line& line = flow.lines[static_cast<std::size_t>(LineOf(item))];
  line.ids.insert(id);
  line.work += work;
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
  const auto line = std::ranges::find_if(
      next->lines, [](const Line& it) { return !it.ids.empty(); });
  const EntryId id = *line->ids.begin();
  const Entry entry = entries_.at(id);
  Remove(id);
  virtual_now_ = next->virtual_time;
  next->virtual_time += entry.work / ShareOf(entry.item.contract);
  ++next->running;
  running_.emplace(id, Running{entry.item.contract, entry.work, now});
  if (!IsSaturated()) {
    busy_ = {};
  } else if (!busy_.since) {
    busy_ = {now, 0};
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
  Flow& flow = TouchFlow(run.contract);
  --flow.running;
  if (actual) {
    const bool ran = *actual != Cost{};
    const double work = ran ? WorkOf(*actual) : 0;
    flow.virtual_time += (work - run.work) / ShareOf(run.contract);
    run.work = work;
  }
  if (run.work > 0) {
    Learn(run, now);
  }
  if (running_.empty() && entries_.empty()) {
    // Debts end with the busy period: nobody waits for what was used.
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
    const int line = std::clamp(priority.value(), 0, kPriorities - 1);
    for (int i = 0; i <= line; ++i) {
      ahead += flow->second.lines[static_cast<std::size_t>(i)].work;
    }
    // What it was given beyond its share has to be waited off, too.
    const double lead = flow->second.virtual_time - virtual_now_;
    ahead += std::max(0.0, lead) * ShareOf(contract);
  }
  return FromSeconds(ahead / SpeedOf(contract));
}

double FairQueue::WorkOf(const Cost& cost) const noexcept {
  const bool counts_tokens = capacity_.rates.prefill_tokens_per_s > 0 ||
                             capacity_.rates.decode_tokens_per_s > 0;
  const double work = counts_tokens
                          ? WorkSeconds(cost, capacity_.rates)
                          : unit_run_s_ / std::max(1, capacity_.concurrency);
  return std::max(work, kLeastWork);
}

int FairQueue::LineOf(const QueueItem& item) noexcept {
  return std::clamp(item.priority.value(), 0, kPriorities - 1);
}

double FairQueue::ShareOf(const base::ContractId& contract) const {
  const auto it = shares_.find(contract);
  const double share =
      it == shares_.end() ? options_.default_share : it->second;
  return std::max(share, kLeastShare);
}

double FairQueue::SpeedOf(const base::ContractId& contract) const {
  const double own = ShareOf(contract);
  double all = own;
  for (const auto& [id, flow] : flows_) {
    if (flow.waiting > 0 && id != contract) {
      all += ShareOf(id);
    }
  }
  return speed_ * own / all;
}

base::Duration FairQueue::RunTime(double work) const noexcept {
  return run_ratio_ ? FromSeconds(work * *run_ratio_) : base::Duration::zero();
}

bool FairQueue::IsSaturated() const noexcept {
  return !entries_.empty() && running() >= capacity_.concurrency;
}

FairQueue::Flow& FairQueue::TouchFlow(const base::ContractId& contract) {
  const auto it = flows_.find(contract);
  if (it != flows_.end()) {
    return it->second;
  }
  // Contracts that are idle and owe nothing need not be remembered.
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
  Line& line = flow.lines[static_cast<std::size_t>(LineOf(entry.item))];
  line.ids.erase(id);
  // An empty line has exactly no work, whatever rounding left over.
  line.work = line.ids.empty() ? 0 : line.work - entry.work;
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

bool FairQueue::MakeRoom(const QueueItem& item,
                         double work,
                         std::vector<DroppedRequest>* dropped) {
  // The contract with the most waiting work for its share gives way.
  const auto burden = [this](const auto& it) {
    double waiting = 0;
    for (const Line& line : it.second.lines) {
      waiting += line.work;
    }
    return waiting / ShareOf(it.first);
  };
  const auto fullest = std::ranges::max_element(flows_, {}, burden);
  const bool is_own = fullest->first == item.contract;
  const double density =
      is_own ? item.worth.value() / work : std::numeric_limits<double>::max();
  // Least urgent line first; in it the least worth for its work.
  for (int i = kPriorities - 1; i >= (is_own ? LineOf(item) : 0); --i) {
    const auto victims = LessWorthy(
        fullest->second.lines[static_cast<std::size_t>(i)],
        i > LineOf(item) ? std::numeric_limits<double>::max() : density);
    if (!victims.empty()) {
      Drop(victims.front(), RefusalReason::kShed,
           EstimateWait(fullest->first, Priority(i)), dropped);
      return true;
    }
  }
  return false;
}

bool FairQueue::MakeTime(const QueueItem& item,
                         double work,
                         base::Duration excess,
                         std::vector<DroppedRequest>* dropped) {
  const auto flow = flows_.find(item.contract);
  if (flow == flows_.end()) {
    return false;
  }
  const double needed = Seconds(excess) * SpeedOf(item.contract);
  const Line& line = flow->second.lines[static_cast<std::size_t>(LineOf(item))];
  double freed = 0;
  double lost = 0;
  std::vector<EntryId> victims;
  for (const EntryId id : LessWorthy(line, item.worth.value() / work)) {
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

std::vector<EntryId> FairQueue::LessWorthy(const Line& line,
                                           double density) const {
  std::vector<EntryId> ids;
  std::ranges::copy_if(line.ids, std::back_inserter(ids),
                       [&](EntryId id) { return DensityOf(id) < density; });
  std::ranges::sort(ids, {}, [this](EntryId id) { return DensityOf(id); });
  return ids;
}

double FairQueue::DensityOf(EntryId id) const {
  const Entry& entry = entries_.at(id);
  return entry.item.worth.value() / entry.work;
}

void FairQueue::Learn(const Running& run, base::Time now) {
  const double weight = options_.smoothing;
  const double seconds = Seconds(now - run.started);
  const double ratio = seconds / run.work;
  run_ratio_ =
      run_ratio_ ? *run_ratio_ + weight * (ratio - *run_ratio_) : ratio;
  unit_run_s_ += weight * (seconds - unit_run_s_);
  if (!busy_.since) {
    return;
  }
  busy_.work += run.work;
  const base::Duration elapsed = now - *busy_.since;
  if (elapsed >= kSpeedWindow) {
    const double sample = busy_.work / Seconds(elapsed);
    speed_ =
        std::clamp(speed_ + weight * (sample - speed_), kMinSpeed, kMaxSpeed);
    busy_ = {now, 0};
  }
}

}  // namespace lynxglade::request
