// Writes claims to the key-value service, many in one transaction.
//
// The service takes several hundred calls a second from all instances
// together, and a transaction counts as one call. One thread has one call
// under way; what is asked for meanwhile goes into the next one, so batches
// grow with the load and with the service's slowness. A transaction is all or
// nothing: the service's answer names the keys that stood in the way, these
// get their verdict, and the others go again.
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

// One compare-and-swap.
struct ClaimOp {
  enum class Kind {
    // Put `value` if the key is absent.
    kCreate,
    // Put `value` if the key is still at `guard`.
    kRecord,
    // Delete the key if it still holds `value`. Goes on in the background.
    kRelease,
  };
  Kind kind = Kind::kCreate;
  std::string key;
  // Holds a mark that no other write has.
  std::string value;
  base::Revision guard;
};

struct ClaimWriteResult {
  enum class Status {
    kWritten,
    // Another write was there first; see `found`.
    kConflict,
    // Not known to be written. A create that may have been is deleted again
    // in the background; its caller must not act on it.
    kUnavailable,
    // A record or release that goes on in the background.
    kPending,
  };
  Status status = Status::kUnavailable;
  // kWritten: the key's revision now.
  base::Revision revision;
  std::optional<connection::KvEntry> found;
};

struct ClaimWriterOptions {
  // The service takes 128 operations a transaction.
  std::size_t max_batch = 64;
  // The service takes 1.5 MB a call, a third of it lost to base64.
  std::size_t max_batch_bytes = 512u << 10;
  std::size_t max_queue = 8192;
  // How long records and releases are tried.
  base::Duration background_timeout = std::chrono::minutes(10);
  base::Duration min_backoff = std::chrono::milliseconds(5);
  base::Duration max_backoff = std::chrono::milliseconds(250);
  // Claims are forgotten after between `min_retention` and `min_retention` plus
  // `lease_period`; one lease serves all claims of a period.
  base::Duration min_retention = std::chrono::hours(6);
  base::Duration lease_period = std::chrono::hours(1);
};

// Thread-safe. Owns one thread; the destructor tries what is queued once more
// and joins it.
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

  // Asks for the write and waits for its result, at most `wait`.
  ClaimWriteResult Write(ClaimOp op, base::Duration wait);

  // Writes that wait for a transaction.
  std::size_t queued() const;

 private:
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;
  using Batch = std::vector<EntryPtr>;
  using Status = ClaimWriteResult::Status;

  void Loop();
  std::optional<Batch> NextBatch();
  Batch TakeReady(base::Time now);
  base::Duration UntilReady(base::Time now) const;

  void WriteBatch(const Batch& batch);
  std::optional<connection::KvLeaseId> Lease(connection::KvError* error);
  void Settle(const Batch& batch, const connection::KvTxnResult& txn);
  void Fail(const Batch& batch, connection::KvError error);
  void SetPause(base::Duration pause);
  void ReadBack(const Batch& batch);
  // Completes or repeats a write by what stands under its key.
  void JudgeFound(const EntryPtr& entry, const connection::KvEntry* found);

  void Retry(const EntryPtr& entry, base::Duration pause);
  void GiveUp(const EntryPtr& entry);
  void Complete(const EntryPtr& entry, ClaimWriteResult result);
  bool Enqueue(EntryPtr entry);
  void ReleaseLater(const ClaimOp& create);
  ClaimWriteResult Abandon(const EntryPtr& entry);

  const connection::KeyValue& key_value_;
  const base::Clock clock_;
  const base::RandomSource random_;
  const ClaimWriterOptions options_;
  base::Counter& transactions_;
  base::Counter& read_backs_;

  // Used by the writing thread only.
  connection::KvLeaseId lease_;
  base::Time lease_granted_{};
  base::Duration pause_{};

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool ending_ = false;
  std::deque<EntryPtr> queue_;
  base::Time paused_until_{};
  std::thread thread_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_CLAIM_WRITER_H_
