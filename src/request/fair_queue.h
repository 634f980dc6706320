// Weighted fair queue that divides a service's capacity among contracts.
//
// Start-time fair queueing: each contract has a virtual time that advances by
// the work dequeued for it divided by its share, and the waiting contract with
// the smallest virtual time goes next. The scheduler is work-conserving, and a
// contract accumulates no credit while it is idle. Within a contract the most
// urgent priority goes first. Work is expressed in seconds of the whole
// capacity, estimated from prefill and decode tokens at the targets' rates and
// corrected when the request ends. See docs/design/admission.md.
#ifndef LYNXGLADE_REQUEST_FAIR_QUEUE_H_
#define LYNXGLADE_REQUEST_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/cost.h"
#include "request/request.h"

namespace lynxglade::request {

// The part of a service's capacity that this process may use.
struct Capacity {
  // Maximum number of requests in flight.
  int concurrency = 0;
  // Sum over the targets; zero if the targets do not count tokens.
  Rates rates;
};

struct FairQueueOptions {
  // Maximum number of waiting requests, over all contracts.
  std::size_t max_waiting = 4096;
  // Share of a contract for which SetShares gave none.
  double default_share = 0.01;
  // Initial estimate of a request's run time at targets that do not count
  // tokens.
  base::Duration initial_run_time = std::chrono::milliseconds(50);
  // Weight of a new sample in the moving averages of run time and throughput.
  double smoothing = 0.1;
  // Bounds of retry_after.
  base::Duration min_retry_after = std::chrono::milliseconds(100);
  base::Duration max_retry_after = std::chrono::seconds(30);
};

// Identifies a request within its queue.
using EntryId = base::StrongNumber<struct EntryIdTag, std::uint64_t>;

// The properties of a request that the queue uses.
struct QueueItem {
  base::ContractId contract;
  Priority priority{5};
  base::Worth worth{1.0};
  base::Time deadline{};
  Cost cost;
};

// A waiting request that was dropped, and the refusal for its caller.
struct DroppedRequest {
  EntryId id;
  Refusal refusal;
};

// Not thread-safe; see Admission.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {});
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  void SetCapacity(const Capacity& capacity);
  // Shares by contract, each above 0.
  void SetShares(std::map<base::ContractId, double> shares);

  // Queues a request. On nullopt `*refusal` is set, with outcome not-run.
  // Waiting requests that were evicted in favour of others are appended to
  // `*dropped`.
  std::optional<EntryId> Enqueue(const QueueItem& item,
                                 base::Time now,
                                 Refusal* refusal,
                                 std::vector<DroppedRequest>* dropped);
  // Returns the next request to run, if one waits and concurrency allows it.
  std::optional<EntryId> Dequeue(base::Time now);
  // Drops the requests that can no longer meet their deadline. Call before
  // Dequeue, and at each waiting request's ExpiryOf time.
  void Expire(base::Time now, std::vector<DroppedRequest>* dropped);
  // Removes a waiting request whose caller disconnected.
  void Cancel(EntryId id);
  // Reports that a dequeued request ended. `actual` is its real cost, nullopt
  // if unknown, and zero if it did not run.
  void Complete(EntryId id, const std::optional<Cost>& actual, base::Time now);

  // When a waiting request will be dropped; nullopt if it is not waiting.
  std::optional<base::Time> ExpiryOf(EntryId id) const;
  std::size_t waiting() const noexcept { return entries_.size(); }
  int running() const noexcept { return static_cast<int>(running_.size()); }
  // Estimated time until a new request of that contract and priority starts.
  base::Duration EstimateWait(const base::ContractId& contract,
                              Priority priority) const;
  // Work of a request, in seconds of the whole capacity.
  double WorkOf(const Cost& cost) const noexcept;

 private:
  static constexpr int kPriorities = 10;

  struct Entry {
    QueueItem item;
    double work = 0;
    base::Time expiry{};
  };
  // A contract's waiting requests of one priority, in order of arrival.
  struct PriorityLevel {
    std::set<EntryId> ids;
    double work = 0;
  };
  struct Flow {
    double virtual_time = 0;
    std::array<PriorityLevel, kPriorities> levels;
    std::size_t waiting = 0;
    int running = 0;
  };
  struct Running {
    base::ContractId contract;
    double work = 0;
    base::Time started{};
  };
  // Work completed since the queue became saturated, to measure throughput.
  struct SaturatedPeriod {
    std::optional<base::Time> since;
    double work = 0;
  };

  static int PriorityIndex(const QueueItem& item) noexcept;
  double ShareOf(const base::ContractId& contract) const;
  // The contract's part of the throughput among the waiting contracts, counting
  // itself as waiting.
  double ThroughputOf(const base::ContractId& contract) const;
  base::Duration RunTime(double work) const noexcept;
  bool IsSaturated() const noexcept;
  Flow& FindOrCreateFlow(const base::ContractId& contract);
  void Remove(EntryId id);
  void Drop(EntryId id,
            RefusalReason reason,
            base::Duration retry_after,
            std::vector<DroppedRequest>* dropped);
  Refusal MakeRefusal(RefusalReason reason, base::Duration retry_after) const;
  // Makes space in a full queue by dropping one request.
  bool EvictForSpace(const QueueItem& item,
                     double work,
                     std::vector<DroppedRequest>* dropped);
  // Shortens the item's wait by `excess` by dropping requests of the same
  // contract and priority that are worth less in total. All or nothing.
  bool EvictForDeadline(const QueueItem& item,
                        double work,
                        base::Duration excess,
                        std::vector<DroppedRequest>* dropped);
  // Waiting requests whose worth per work is less than `density`, lowest first.
  std::vector<EntryId> EntriesBelowDensity(const PriorityLevel& level,
                                           double density) const;
  // Worth per work.
  double DensityOf(EntryId id) const;
  void UpdateEstimates(const Running& run, base::Time now);

  const FairQueueOptions options_;
  Capacity capacity_;
  std::map<base::ContractId, double> shares_;
  std::map<base::ContractId, Flow> flows_;
  std::map<EntryId, Entry> entries_;
  std::map<EntryId, Running> running_;
  std::set<std::pair<base::Time, EntryId>> expiries_;
  // Virtual start time of the request dequeued last.
  double virtual_now_ = 0;
  // Moving averages of run time over work, and of run time in seconds.
  std::optional<double> run_ratio_;
  double mean_run_s_;
  // Moving average of work completed per second while saturated; 1 if the
  // capacity's rates are accurate.
  double throughput_ = 1;
  SaturatedPeriod saturated_;
  std::uint64_t next_id_ = 1;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_FAIR_QUEUE_H_
