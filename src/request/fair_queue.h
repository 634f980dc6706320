// Shares a service's capacity among contracts.
//
// Start-time fair queueing: each contract has a virtual time that advances by
// the work it is given over its share, and the waiting contract that is
// furthest behind goes next. No contract's share is left idle while another
// waits, and an idle contract saves up nothing. Inside a contract the most
// urgent priority goes first. Work is seconds of the whole capacity, estimated
// from prefill and decode tokens at measured rates and corrected when the
// request ends. See docs/notes/admission.md.
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

// What this process may use of a service's targets.
struct Capacity {
  // Requests under way at once.
  int concurrency = 0;
  // Sum over the targets; zeros where the targets count no tokens.
  Rates rates;
};

struct FairQueueOptions {
  // Requests waiting at once, over all contracts.
  std::size_t max_waiting = 4096;
  // Share of a contract without an intent on the service.
  double default_share = 0.01;
  // Work of a request at targets that count no tokens, until measured.
  base::Duration initial_run_time = std::chrono::milliseconds(50);
  // Weight of the newest measurement of run times and efficiency.
  double smoothing = 0.1;
  // Bounds of retry_after.
  base::Duration min_retry_after = std::chrono::milliseconds(100);
  base::Duration max_retry_after = std::chrono::seconds(30);
};

// Names a request in its queue.
using EntryId = base::StrongNumber<struct EntryIdTag, std::uint64_t>;

// What the queue must know of a request.
struct QueueItem {
  base::ContractId contract;
  Priority priority{5};
  base::Worth worth{1.0};
  base::Time deadline{};
  Cost cost;
};

// A waiting request that was dropped, and what its caller is told.
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

  // Puts a request in line. nullopt: `*refusal` (outcome not-run) says why.
  // Requests of less worth that had to make room go to `*dropped`.
  std::optional<EntryId> Enqueue(const QueueItem& item,
                                 base::Time now,
                                 Refusal* refusal,
                                 std::vector<DroppedRequest>* dropped);
  // The next request to run, when one waits and concurrency allows.
  std::optional<EntryId> Dequeue(base::Time now);
  // Drops what can no longer make its deadline. Call before Dequeue, and at
  // each waiting request's ExpiryOf.
  void Expire(base::Time now, std::vector<DroppedRequest>* dropped);
  // The caller went away before the request ran.
  void Cancel(EntryId id);
  // A dequeued request ended, having cost `actual`; nullopt when not known.
  void Complete(EntryId id, const std::optional<Cost>& actual, base::Time now);

  // When a waiting request will be dropped; nullopt when it does not wait.
  std::optional<base::Time> ExpiryOf(EntryId id) const;
  std::size_t waiting() const noexcept { return entries_.size(); }
  int running() const noexcept { return static_cast<int>(running_.size()); }
  // Time until a request of that contract and priority would start.
  base::Duration EstimateWait(const base::ContractId& contract,
                              Priority priority) const;
  // Work of a cost: seconds of the whole capacity.
  double WorkOf(const Cost& cost) const noexcept;

 private:
  static constexpr int kPriorities = 10;

  struct Entry {
    QueueItem item;
    double work = 0;
    base::Time expiry{};
  };
  // Waiting requests of one priority, in order of arrival.
  struct Line {
    std::set<EntryId> ids;
    double work = 0;
  };
  struct Flow {
    double virtual_time = 0;
    std::array<Line, kPriorities> lines;
    std::size_t waiting = 0;
    int running = 0;
  };
  struct Running {
    base::ContractId contract;
    double work = 0;
    base::Time started{};
  };
  // Work done while requests waited, to learn the capacity's real speed.
  struct Busy {
    std::optional<base::Time> since;
    double work = 0;
  };

  static int LineOf(const QueueItem& item) noexcept;
  double ShareOf(const base::ContractId& contract) const;
  // The contract's part of the speed, were it waiting too.
  double SpeedOf(const base::ContractId& contract) const;
  base::Duration RunTime(double work) const noexcept;
  bool IsSaturated() const noexcept;
  Flow& TouchFlow(const base::ContractId& contract);
  void Remove(EntryId id);
  void Drop(EntryId id,
            RefusalReason reason,
            base::Duration retry_after,
            std::vector<DroppedRequest>* dropped);
  Refusal MakeRefusal(RefusalReason reason, base::Duration retry_after) const;
  bool MakeRoom(const QueueItem& item,
                double work,
                std::vector<DroppedRequest>* dropped);
  bool MakeTime(const QueueItem& item,
                double work,
                base::Duration excess,
                std::vector<DroppedRequest>* dropped);
  // Waiting requests of one line with less worth for their work, least first.
  std::vector<EntryId> LessWorthy(const Line& line, double density) const;
  double DensityOf(EntryId id) const;
  void Learn(const Running& run, base::Time now);

  const FairQueueOptions options_;
  Capacity capacity_;
  std::map<base::ContractId, double> shares_;
  std::map<base::ContractId, Flow> flows_;
  std::map<EntryId, Entry> entries_;
  std::map<EntryId, Running> running_;
  std::set<std::pair<base::Time, EntryId>> expiries_;
  // Virtual time of the request that was given out last.
  double virtual_now_ = 0;
  // Run time over work, and run time; learned.
  std::optional<double> run_ratio_;
  double unit_run_s_;
  // Work done a second while saturated; 1 if the rates are right.
  double speed_ = 1;
  Busy busy_;
  std::uint64_t next_id_ = 1;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_FAIR_QUEUE_H_
