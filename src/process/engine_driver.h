// Executes the steps that Decide() returns for one engine.
//
// Runs on its owner's thread. Blocking calls go through the runners in
// ShardContext and complete on the same thread; at most one call per engine is
// in flight.
#ifndef LYNXGLADE_PROCESS_ENGINE_DRIVER_H_
#define LYNXGLADE_PROCESS_ENGINE_DRIVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/engine_admin.h"
#include "process/change_permits.h"
#include "process/fleet_status.h"
#include "process/load_rate_limiter.h"
#include "process/order_decision.h"
#include "process/order_hooks.h"
#include "process/order_journal.h"
#include "process/order_store.h"
#include "process/shard_lease.h"

namespace lynxglade::process {

// State shared by the engines of a shard. Must outlive its drivers.
struct ShardContext {
  OrderSettings settings;
  base::InstanceId instance;
  std::string lease_key;
  base::Clock clock;
  base::RandomSource random;
  std::shared_ptr<const OrderStore> store;
  std::shared_ptr<const connection::EngineAdmin> admin;
  // Separate runners for the key-value service and for engines, so that an
  // engine that does not answer can't delay a lease renewal.
  CallRunner run_store;
  CallRunner run_engine;
  ShardLease* lease = nullptr;
  LoadRateLimiter* load_limiter = nullptr;
  base::Metrics* metrics = nullptr;
  // Orders of earlier holders may still arrive before this time.
  base::Time late_orders_until{};
  // Number of starts and ends of permit calls. If it changed while the permits
  // were listed, the list may be stale and is discarded.
  std::uint64_t permit_calls = 0;
  // Set when the permits have to be listed again, for example because the
  // outcome of a permit call is unknown.
  bool permits_stale = true;
};

// Not thread-safe. Must not be destroyed while busy().
class EngineDriver {
 public:
  EngineDriver(ShardContext& context, EngineRow row);
  EngineDriver(const EngineDriver&) = delete;
  EngineDriver& operator=(const EngineDriver&) = delete;

  // Takes the next step unless a call is in flight.
  void Step();
  // Takes no further steps; a call in flight still completes.
  void Retire() noexcept { retired_ = true; }

  void SetRow(EngineRow row);
  void SetDesired(std::optional<connection::EngineTargetState> desired);
  void SetPermit(std::optional<Permit> permit);
  void SetCapacityAllows(bool allows) noexcept { capacity_allows_ = allows; }

  bool busy() const noexcept { return busy_; }
  const EngineRow& row() const noexcept { return row_; }
  bool permit_held() const noexcept { return permit_.has_value(); }
  // Whether the journal is loaded and the engine was read or found unreachable.
  bool state_known() const noexcept;
  // State that the engine is in or is changing to; empty if unknown.
  std::optional<connection::EngineTargetState> Content() const;
  // Whether the engine accepted new work at its last read-back and is
  // reachable.
  bool IsServing() const;
  EngineStatus Status() const;
  // Whether it has waited longer than OrderSettings::overdue_after.
  bool IsOverdue() const;

 private:
  DecisionInputs MakeDecisionInputs(base::Time now) const;
  DecisionSettings MakeSettings() const;
  void UpdateDecision(const OrderDecision& decision, base::Time now);
  void Execute(const OrderDecision& decision, base::FencingToken fence);

  void LoadJournal();
  void ReadBack();
  void WriteRecord(JournalRecord record);
  void CommitPending();
  void ReadJournalBack();
  void OnWritten(JournalWriteResult result);
  void Send(const OrderDecision& decision, base::FencingToken fence);
  void OnSent(const connection::EngineOrder& order,
              int attempt,
              const std::optional<connection::OrderAnswer>& answer,
              connection::EngineAdminError error);
  void AcquirePermit(base::FencingToken fence);
  void ReleaseHeldPermit(base::FencingToken fence);

  // Runs `call`; busy() is false again when its completion runs.
  void Run(const CallRunner& runner, BlockingCall call);
  void CountChange(const connection::EngineTargetState& target) const;
  void CountOrder(const char* result) const;

  ShardContext& context_;
  EngineRow row_;
  OrderJournal journal_;
  bool journal_unreadable_ = false;
  // The journal had a record when it was loaded.
  bool inherited_ = false;
  // A write was not answered; the record has to be read before the next write.
  bool journal_read_needed_ = false;
  std::optional<EngineObservation> observation_;
  std::optional<base::Time> unreachable_since_;
  base::Time last_read_attempt_{};
  std::optional<SentOrder> sent_;
  // An order that was not answered may still arrive before this time.
  base::Time unanswered_until_{};
  std::optional<connection::EngineTargetState> desired_;
  std::optional<Permit> permit_;
  // A release of the permit was not confirmed and may still take effect.
  bool permit_release_unconfirmed_ = false;
  base::Time permit_retry_{};
  bool capacity_allows_ = false;
  bool busy_ = false;
  bool retired_ = false;
  OrderDecision decision_;
  base::Time waiting_since_{};
  bool overdue_logged_ = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ENGINE_DRIVER_H_
