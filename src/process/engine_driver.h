// Takes the steps that Decide() names for one engine.
//
// Runs on its owner's single thread; blocking calls go through
// ShardContext::run and come back on the same thread. At most one is under
// way for an engine.
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
#include "process/lease_keeper.h"
#include "process/load_pacer.h"
#include "process/order_executor.h"
#include "process/order_hooks.h"
#include "process/order_journal.h"
#include "process/order_store.h"

namespace lynxglade::process {

// What the engines of a shard share. Outlives its drivers.
struct ShardContext {
  OrderSettings settings;
  base::InstanceId instance;
  std::string lease_key;
  base::Clock clock;
  base::RandomSource random;
  std::shared_ptr<const OrderStore> store;
  std::shared_ptr<const connection::EngineAdmin> admin;
  // Calls to the key-value service and to engines, apart, so that an engine
  // that does not answer never holds up a renewal of the lease.
  CallRunner run_store;
  CallRunner run_engine;
  LeaseKeeper* lease = nullptr;
  LoadPacer* pacer = nullptr;
  base::Metrics* metrics = nullptr;
  // Until then orders of earlier holders may still arrive.
  base::Time quiet_until{};
  // Counts starts and ends of permit calls; a list of permits that was read
  // across one is worth nothing.
  std::uint64_t permit_calls = 0;
  // Set when the outcome of a permit call is not known.
  bool permits_unknown = true;
};

// Not thread-safe. Must not be destroyed while busy().
class EngineDriver {
 public:
  EngineDriver(ShardContext& context, EngineRow row);
  EngineDriver(const EngineDriver&) = delete;
  EngineDriver& operator=(const EngineDriver&) = delete;

  // Takes the next step, unless one is under way.
  void Step();
  // Takes no step from now on; what is under way ends.
  void Retire() noexcept { retired_ = true; }

  void SetRow(EngineRow row);
  void SetDesired(std::optional<connection::EngineTargetState> desired);
  void SetPermit(std::optional<Permit> permit);
  void SetCapacityAllows(bool allows) noexcept { capacity_allows_ = allows; }

  bool busy() const noexcept { return busy_; }
  const EngineRow& row() const noexcept { return row_; }
  bool permit_held() const noexcept { return permit_.has_value(); }
  // Something is known of the engine, or that it can't be reached.
  bool examined() const noexcept;
  // What it is, or is being changed to; nothing when not known.
  std::optional<connection::EngineTargetState> Content() const;
  // It takes new work, by its own last word.
  bool Serving() const;
  EngineStatus Status() const;
  // It waits longer than operators should have to.
  bool Overdue() const;

 private:
  OrderSituation Situation(base::Time now) const;
  ExecutorSettings Settings() const;
  void Note(const OrderDecision& decision, base::Time now);
  void Take(const OrderDecision& decision, base::FencingToken fence);

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
  void ClaimPermit(base::FencingToken fence);
  void GiveBackPermit(base::FencingToken fence);

  // Runs `call`; its completion runs after the driver is free again.
  void Run(const CallRunner& runner, BlockingCall call);
  void CountChange(const connection::EngineTargetState& target) const;
  void Count(const char* result) const;

  ShardContext& context_;
  EngineRow row_;
  OrderJournal journal_;
  bool journal_unreadable_ = false;
  // An earlier holder's order was found in the journal.
  bool inherited_ = false;
  // A write's answer was lost: read the record before writing again.
  bool journal_read_needed_ = false;
  std::optional<EngineEvidence> evidence_;
  std::optional<base::Time> unreachable_since_;
  base::Time last_read_attempt_{};
  std::optional<SentOrder> sent_;
  // A copy of an order without an answer may arrive until then.
  base::Time unanswered_until_{};
  std::optional<connection::EngineTargetState> desired_;
  std::optional<Permit> permit_;
  // A call that gives it back may still take effect.
  bool permit_leaving_ = false;
  base::Time permit_retry_{};
  bool capacity_allows_ = false;
  bool busy_ = false;
  bool retired_ = false;
  OrderDecision decision_;
  base::Time waiting_since_{};
  bool overdue_told_ = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ENGINE_DRIVER_H_
