// Writes claims to the key-value service, batched into transactions.
//
// The service limits the rate of calls from all instances together to a few
// hundred per second, and a transaction counts as one call. A single thread has
// one call in flight; writes requested meanwhile go into the next transaction,
// so batches grow with the load and with the service's latency. If a guard of a
// transaction fails, nothing is written and the service returns the conflicting
// keys; their writes are completed as conflicts and the others are retried.
#ifndef LYNXGLADE_REQUEST_CLAIM_WRITER_H_
#define LYNXGLADE_REQUEST_CLAIM_WRITER_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "connection/key_value.h"

namespace lynxglade::request {

// A compare-and-swap operation on one key.
struct ClaimOp {
  enum class Kind {
    // Put `value` if the key is absent.
    kCreate,
    // Put `value` if the key's revision is still `guard`.
    kRecord,
    // Delete the key if it still holds `value`.
    kRelease,
  };
  Kind kind = Kind::kCreate;
  std::string key;
  // Contains ClaimRecord::write_id, so that no other claim has the same value.
  std::string value;
  base::Revision guard;
};

struct ClaimWriteResult {
  enum class Status {
    kWritten,
    // The key holds another write; see `found`.
    kConflict,
    // Not known to be written. The caller must act as if it was not: a create
    // that may have taken effect is deleted in the background.
    kUnavailable,
    // A record or release that continues in the background.
    kPending,
  };
  Status status = Status::kUnavailable;
  // kWritten: the key's new revision.
  base::Revision revision;
  std::optional<connection::KvEntry> found;
};

struct ClaimWriterOptions {
  // The service allows 128 operations per transaction.
  std::size_t max_batch = 64;
  // The service allows 1.5 MB per call, and base64 adds a third.
  std::size_t max_batch_bytes = 512u << 10;
  std::size_t max_queue = 8192;
  // How long records and releases are retried.
  base::Duration background_timeout = std::chrono::minutes(10);
  base::Duration min_backoff = std::chrono::milliseconds(5);
  base::Duration max_backoff = std::chrono::milliseconds(250);
  // All claims written within a lease period share a lease, so a claim expires
  // between `min_retention` and `min_retention` + `lease_period` after it was
  // written.
  base::Duration min_retention = std::chrono::hours(6);
  base::Duration lease_period = std::chrono::hours(1);
};

// Thread-safe. Owns a thread. The destructor makes a last attempt to write what
// is queued and joins the thread.
class ClaimWriter {
 public:
  // `key_value` and `metrics` must outlive it.
  ClaimWriter(const connection::KeyValue& key_value,
              base::Clock clock,
              base::RandomSource random,
              base::Metrics& metrics,
              ClaimWriterOptions options);
  ~ClaimWriter();
  ClaimWriter(const ClaimWriter&) = delete;
  ClaimWriter& operator=(const ClaimWriter&) = delete;

  // Queues the write and waits for its result for at most `wait`.
  ClaimWriteResult Write(ClaimOp op, base::Duration wait);

  // Number of writes that wait for a transaction.
  std::size_t queued() const;

 private:
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;
  using Batch = std::vector<EntryPtr>;
  using Status = ClaimWriteResult::Status;

  void Loop();
  std::optional<Batch> NextBatch();
  Batch TakeReady(base::Time now);
  base::Duration TimeUntilReady(base::Time now) const;

  void WriteBatch(const Batch& batch);
  std::optional<connection::KvLeaseId> CurrentLease(connection::KvError* error);
  void HandleResult(const Batch& batch, const connection::KvTxnResult& txn);
  void HandleError(const Batch& batch, connection::KvError error);
  void SetBackoff(base::Duration backoff);
  void ReadBack(const Batch& batch);
  // Completes or retries a write according to what is stored under its key.
  void ResolveFromStored(const EntryPtr& entry,
                         const connection::KvEntry* found);

  void Retry(const EntryPtr& entry, base::Duration backoff);
  void FailEntry(const EntryPtr& entry);
  void Complete(const EntryPtr& entry, ClaimWriteResult result);
  bool Enqueue(EntryPtr entry);
  void ReleaseInBackground(const ClaimOp& create);
  ClaimWriteResult CancelCreate(const EntryPtr& entry);

  const connection::KeyValue& key_value_;
  const base::Clock clock_;
  const base::RandomSource random_;
  const ClaimWriterOptions options_;
  base::Counter& transactions_;
  base::Counter& read_backs_;

  // Used only by the writer thread.
  connection::KvLeaseId lease_;
  base::Time lease_granted_{};
  base::Duration backoff_{};

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::deque<EntryPtr> queue_;
  base::Time next_call_at_{};
  std::thread thread_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_CLAIM_WRITER_H_
