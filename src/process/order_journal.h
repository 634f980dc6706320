// What one engine was ordered to be, as kept in the key-value service.
//
// One record an engine. It is written before an order leaves, so whoever holds
// authority next knows the only order that can still be on its way. Each write
// is a compare-and-swap that also demands the writer's lease key, so a holder
// that lost its lease can't write.
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
  // May have been sent or not.
  kIntended,
  // The engine has accepted it.
  kSent,
  // The engine was read back and is what the order says.
  kObserved,
  // Given up after bounded attempts, or overtaken by a restart of the engine.
  kFailed,
};
std::string_view ToString(OrderPhase phase) noexcept;

// Whether the order's outcome is still awaited.
bool IsOpen(OrderPhase phase) noexcept;

struct JournalRecord {
  base::Generation generation;
  connection::EngineTargetState target;
  OrderPhase phase = OrderPhase::kIntended;
  // Authority under which it was last written.
  base::FencingToken fence;
  base::InstanceId holder;
  // Times the order was sent or may have been.
  int attempts = 0;
  // Orders to the same content that the engine took and that were then given
  // up, in a row; the last of them, and the incarnation it was left in.
  int failures = 0;
  std::optional<connection::EngineTargetState> failed_target;
  std::string failed_incarnation;
  // Of this write; tells the writer its own after a lost answer.
  std::string mark;

  bool operator==(const JournalRecord&) const = default;
};

std::string EncodeRecord(const JournalRecord& record);
// Nothing when the text is not a record.
std::optional<JournalRecord> DecodeRecord(const std::string& text);

std::string JournalKey(const base::TargetId& target);

enum class JournalWriteResult {
  // The record is stored.
  kStored,
  // Not known: read the key back.
  kReadBack,
  // Nothing was written; try again later.
  kRetry,
  // The lease key is not the writer's any more.
  kLeaseLost,
  // Another record was found; it has been taken over.
  kOvertaken,
};

struct JournalCommit {
  std::vector<connection::KvGuard> guards;
  std::vector<connection::KvWrite> writes;
};

// The journal of one engine with at most one write under way. Not thread-safe.
class OrderJournal {
 public:
  explicit OrderJournal(const base::TargetId& target);

  // Takes over what the service has; nothing when the key is absent. Returns
  // false when the value can't be read: no order may be given.
  bool Load(const std::optional<connection::KvEntry>& entry);
  // Forgets everything, for instance when authority is lost.
  void Reset();

  // The compare-and-swap that stores `record`, guarded by the lease key. A
  // call with a write pending repeats that write, `record` is then not used.
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
  // The stored record.
  const std::optional<JournalRecord>& record() const noexcept {
    return record_;
  }
  const std::string& key() const noexcept { return key_; }

 private:
  JournalWriteResult TakeOver(const connection::KvEntry* entry);

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
