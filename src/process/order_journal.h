// Journal of the orders to one engine, stored in the key-value service.
//
// There is one record per engine, written before its order is sent, so the next
// holder of authority knows the only order that can still be in flight. Each
// write is a compare-and-swap that also checks the writer's lease key, so a
// holder that lost its lease can't write.
#ifndef LYNXGLADE_PROCESS_ORDER_JOURNAL_H_
#define LYNXGLADE_PROCESS_ORDER_JOURNAL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "connection/engine_admin.h"
#include "connection/key_value.h"

namespace lynxglade::process {

enum class OrderPhase {
  // Stored; may or may not have been sent.
  kIntended,
  // The engine has accepted it.
  kSent,
  // A read-back showed the engine in the ordered state.
  kObserved,
  // Ended after the maximum number of attempts, or because a restart of the
  // engine cleared its drain.
  kFailed,
};
std::string_view ToString(OrderPhase phase) noexcept;

// Whether the order's outcome is still unknown.
bool IsOpen(OrderPhase phase) noexcept;

struct JournalRecord {
  base::Generation generation;
  connection::EngineTargetState target;
  OrderPhase phase = OrderPhase::kIntended;
  // Fencing token of the last write.
  base::FencingToken fence;
  base::InstanceId holder;
  // Number of times the order was sent or may have been sent.
  int attempts = 0;
  // Number of consecutive orders with the same content that the engine accepted
  // and that then failed; the target of the last one, and the engine's
  // incarnation at that time.
  int failures = 0;
  std::optional<connection::EngineTargetState> failed_target;
  std::string failed_incarnation;
  // Random id of this write, by which the writer recognises it when the answer
  // was lost.
  std::string write_id;

  bool operator==(const JournalRecord&) const = default;
};

std::string EncodeRecord(const JournalRecord& record);
// Empty if the text is not a valid record.
std::optional<JournalRecord> DecodeRecord(const std::string& text);

std::string JournalKey(const base::TargetId& target);

enum class JournalWriteResult {
  // The record is stored.
  kStored,
  // Outcome unknown: read the key back.
  kReadBack,
  // Not stored as far as is known; repeat the write later.
  kRetry,
  // The lease key no longer belongs to the writer.
  kLeaseLost,
  // A different record was found and loaded.
  kConflict,
};

struct JournalCommit {
  std::vector<connection::KvGuard> guards;
  std::vector<connection::KvWrite> writes;
};

// Not thread-safe. At most one write is in flight.
class OrderJournal {
 public:
  explicit OrderJournal(const base::TargetId& target);

  // Loads the stored entry, or an empty journal if the key is absent. Returns
  // false if the value is not a valid record; no order may be sent then.
  bool Load(const std::optional<connection::KvEntry>& entry);
  // Discards the record and any pending write.
  void Reset();

  // Returns the compare-and-swap that stores `record`, guarded by the lease
  // key. While a write is pending, returns that write again and ignores the
  // arguments.
  JournalCommit Write(const JournalRecord& record,
                      const std::string& lease_key,
                      base::FencingToken fence);
  JournalWriteResult OnCommit(
      const std::optional<connection::KvTxnResult>& result,
      connection::KvError error);
  JournalWriteResult OnReadBack(
      const std::optional<connection::KvRange>& range);

  bool loaded() const noexcept { return loaded_; }
  bool write_pending() const noexcept { return pending_.has_value(); }
  // Last record known to be stored.
  const std::optional<JournalRecord>& record() const noexcept {
    return record_;
  }
  const std::string& key() const noexcept { return key_; }

 private:
  JournalWriteResult LoadStored(const connection::KvEntry* entry);

  std::string key_;
  bool loaded_ = false;
  std::optional<JournalRecord> record_;
  base::Revision mod_revision_{0};
  std::optional<JournalRecord> pending_;
  std::string pending_lease_key_;
  base::FencingToken pending_fence_{0};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_JOURNAL_H_
