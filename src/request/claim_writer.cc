#include "request/claim_writer.h"

#include <algorithm>
#include <future>
#include <iterator>
#include <set>
#include <utility>

namespace lynxglade::request {

namespace {

using connection::KvEntry;
using connection::KvError;
using Kind = ClaimOp::Kind;

// Returns the entry with that key, or null.
const KvEntry* FindKey(const std::vector<KvEntry>& entries,
                       const std::string& key) {
  const auto it = std::ranges::find(entries, key, &KvEntry::key);
  return it == entries.end() ? nullptr : &*it;
}

// Whether the stored entry satisfies the operation's guard.
bool GuardHolds(const ClaimOp& op, const KvEntry* found) {
  const base::Revision revision =
      found == nullptr ? base::Revision(0) : found->mod_revision;
  return revision == op.guard;
}

// Whether the stored entry shows that the operation was already applied.
bool IsApplied(const ClaimOp& op, const KvEntry* found) {
  const bool holds_value = found != nullptr && found->value == op.value;
  return op.kind == Kind::kRelease ? !holds_value : holds_value;
}

connection::KvWrite WriteOf(const ClaimOp& op, connection::KvLeaseId lease) {
  if (op.kind == Kind::kRelease) {
    return {.key = op.key, .value = std::nullopt, .lease = {}};
  }
  return {.key = op.key, .value = op.value, .lease = lease};
}

}  // namespace

struct ClaimWriter::Entry {
  ClaimOp op;
  std::promise<ClaimWriteResult> result;
  base::Time not_before{};
  base::Time deadline{};
  // The answer of the write was lost, so it may have taken effect.
  bool maybe_written = false;
  // Guarded by the writer's mutex. `waiting`: a caller waits in Write().
  bool waiting = true;
  bool completed = false;
};

ClaimWriter::ClaimWriter(const connection::KeyValue& key_value,
                         base::Clock clock,
                         base::RandomSource random,
                         base::Metrics& metrics,
                         ClaimWriterOptions options)
    : key_value_(key_value),
      clock_(std::move(clock)),
      random_(std::move(random)),
      options_(options),
      transactions_(metrics.GetCounter("lynxglade_claim_transactions_total")),
      read_backs_(metrics.GetCounter("lynxglade_claim_read_backs_total")),
      thread_([this] { Loop(); }) {}

ClaimWriter::~ClaimWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

ClaimWriteResult ClaimWriter::Write(ClaimOp op, base::Duration wait) {
  auto entry = std::make_shared<Entry>();
  entry->op = std::move(op);
  entry->deadline = clock_() + options_.background_timeout;
  std::future<ClaimWriteResult> result = entry->result.get_future();
  if (!Enqueue(entry)) {
    return {};
  }
  if (result.wait_for(wait) == std::future_status::ready) {
    return result.get();
  }
  return entry->op.kind == Kind::kCreate
             ? CancelCreate(entry)
             : ClaimWriteResult{.status = Status::kPending,
                                .revision = {},
                                .found = std::nullopt};
}

std::size_t ClaimWriter::queued() const {
  const std::lock_guard lock(mutex_);
  return queue_.size();
}

// Called when Write() timed out on a create: the key must not stay claimed.
ClaimWriteResult ClaimWriter::CancelCreate(const EntryPtr& entry) {
  bool maybe_written = false;
  {
    const std::lock_guard lock(mutex_);
    entry->waiting = false;
    const auto it = std::ranges::find(queue_, entry);
    if (it != queue_.end()) {
      queue_.erase(it);
      maybe_written = entry->maybe_written;
    } else {
      // Completed concurrently, or still in flight, in which case Complete()
      // releases it.
      maybe_written = entry->completed;
    }
  }
  if (maybe_written) {
    ReleaseInBackground(entry->op);
  }
  return {};
}

void ClaimWriter::ReleaseInBackground(const ClaimOp& create) {
  auto entry = std::make_shared<Entry>();
  entry->op = {.kind = Kind::kRelease,
               .key = create.key,
               .value = create.value,
               .guard = base::Revision(0)};
  entry->deadline = clock_() + options_.background_timeout;
  entry->waiting = false;
  Enqueue(std::move(entry));
}

bool ClaimWriter::Enqueue(EntryPtr entry) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= options_.max_queue) {
      return false;
    }
    queue_.push_back(std::move(entry));
  }
  wake_.notify_one();
  return true;
}

// --- Writer thread ----------------------------------------------------------

void ClaimWriter::Loop() {
  while (const std::optional<Batch> batch = NextBatch()) {
    WriteBatch(*batch);
  }
}

std::optional<ClaimWriter::Batch> ClaimWriter::NextBatch() {
  std::unique_lock lock(mutex_);
  while (true) {
    const base::Time now = clock_();
    if (stopping_ && queue_.empty()) {
      return std::nullopt;
    }
    const base::Duration wait =
        stopping_ ? base::Duration::zero() : TimeUntilReady(now);
    if (wait <= base::Duration::zero()) {
      return TakeReady(now);
    }
    wake_.wait_for(lock, wait);
  }
}

// Time until the next call is due; zero or negative if it is due now.
base::Duration ClaimWriter::TimeUntilReady(base::Time now) const {
  if (queue_.empty()) {
    return options_.max_backoff;
  }
  const auto first = std::ranges::min_element(
      queue_, {}, [](const EntryPtr& entry) { return entry->not_before; });
  return std::max((*first)->not_before, next_call_at_) - now;
}

ClaimWriter::Batch ClaimWriter::TakeReady(base::Time now) {
  Batch batch;
  std::set<std::string> keys;
  std::size_t bytes = 0;
  std::deque<EntryPtr> rest;
  for (EntryPtr& entry : queue_) {
    const bool ready = stopping_ || entry->not_before <= now;
    const bool fits = batch.empty() || (batch.size() < options_.max_batch &&
                                        bytes + entry->op.value.size() <=
                                            options_.max_batch_bytes);
    // A transaction may write each key only once.
    if (ready && fits && keys.insert(entry->op.key).second) {
      bytes += entry->op.value.size();
      batch.push_back(std::move(entry));
    } else {
      rest.push_back(std::move(entry));
    }
  }
  queue_ = std::move(rest);
  return batch;
}

void ClaimWriter::WriteBatch(const Batch& all) {
  // Releases without a known revision, and writes whose answer was lost, must
  // first read what is stored.
  Batch to_read_back;
  Batch batch;
  std::ranges::partition_copy(
      all, std::back_inserter(to_read_back), std::back_inserter(batch),
      [](const EntryPtr& entry) {
        return entry->maybe_written || (entry->op.kind == Kind::kRelease &&
                                        entry->op.guard.value() == 0);
      });
  ReadBack(to_read_back);
  if (batch.empty()) {
    return;
  }
  KvError error = KvError::kNone;
  const std::optional<connection::KvLeaseId> lease = CurrentLease(&error);
  if (!lease) {
    HandleError(batch,
                error == KvError::kAmbiguous ? KvError::kUnreachable : error);
    return;
  }
  std::vector<connection::KvGuard> guards;
  std::vector<connection::KvWrite> writes;
  for (const EntryPtr& entry : batch) {
    guards.push_back({.key = entry->op.key, .mod_revision = entry->op.guard});
    writes.push_back(WriteOf(entry->op, *lease));
  }
  transactions_.Add();
  const auto txn = key_value_.Commit(guards, writes, &error);
  if (txn) {
    HandleResult(batch, *txn);
  } else {
    HandleError(batch, error);
  }
}

// All claims of a period share a lease, so there are few leases and they need
// no keep-alive. If the answer of a grant is lost, the unused lease expires.
std::optional<connection::KvLeaseId> ClaimWriter::CurrentLease(KvError* error) {
  const base::Time now = clock_();
  const bool current =
      lease_.value() != 0 && now - lease_granted_ < options_.lease_period;
  if (current) {
    return lease_;
  }
  const auto lease = key_value_.GrantLease(
      options_.min_retention + options_.lease_period, error);
  if (lease) {
    lease_ = *lease;
    lease_granted_ = now;
  }
  return lease;
}

void ClaimWriter::HandleResult(const Batch& batch,
                               const connection::KvTxnResult& txn) {
  SetBackoff(backoff_ * 9 / 10);
  if (!txn.committed) {
    // Completes the conflicting writes and retries the others.
    std::ranges::for_each(batch, [&](const EntryPtr& entry) {
      ResolveFromStored(entry, FindKey(txn.found, entry->op.key));
    });
    return;
  }
  std::ranges::for_each(batch, [&](const EntryPtr& entry) {
    Complete(entry, {.status = Status::kWritten,
                     .revision = txn.revision,
                     .found = std::nullopt});
  });
}

void ClaimWriter::HandleError(const Batch& batch, KvError error) {
  if (error == KvError::kBadAnswer) {
    // The lease may not exist any more, for instance after the service was
    // restored from a backup.
    lease_ = {};
  }
  if (error == KvError::kRateLimited) {
    SetBackoff(std::max(backoff_ * 3 / 2, options_.min_backoff));
  }
  if (error == KvError::kAmbiguous) {
    std::ranges::for_each(
        batch, [](const EntryPtr& entry) { entry->maybe_written = true; });
    ReadBack(batch);
    return;
  }
  for (const EntryPtr& entry : batch) {
    const bool may_retry =
        error == KvError::kRateLimited || entry->op.kind != Kind::kCreate;
    if (may_retry) {
      // After a rate-limited call, SetBackoff() delays the whole queue.
      Retry(entry, error == KvError::kRateLimited ? base::Duration::zero()
                                                  : options_.max_backoff);
    } else {
      FailEntry(entry);
    }
  }
}

// The time between calls grows with each rate-limited call and shrinks with
// each success, so that the instances converge to a fair share of the service's
// rate limit. With a backoff for retries only, an instance that backs off would
// starve while others keep calling.
void ClaimWriter::SetBackoff(base::Duration backoff) {
  const bool none = backoff < options_.min_backoff / 2;
  backoff_ =
      none ? base::Duration::zero() : std::min(backoff, options_.max_backoff);
  const auto jittered = std::chrono::duration_cast<base::Duration>(
      backoff_ * (0.5 + base::UniformReal(random_)));
  const std::lock_guard lock(mutex_);
  next_call_at_ = clock_() + jittered;
}

// Reads what is stored under the keys of the batch: a transaction that writes
// nothing and requires every key to be absent returns those that exist.
void ClaimWriter::ReadBack(const Batch& batch) {
  if (batch.empty()) {
    return;
  }
  std::vector<connection::KvGuard> guards;
  std::ranges::transform(
      batch, std::back_inserter(guards), [](const EntryPtr& entry) {
        return connection::KvGuard{.key = entry->op.key,
                                   .mod_revision = base::Revision(0)};
      });
  read_backs_.Add();
  KvError error = KvError::kNone;
  const auto txn = key_value_.Commit(guards, {}, &error);
  for (const EntryPtr& entry : batch) {
    if (txn) {
      ResolveFromStored(entry, FindKey(txn->found, entry->op.key));
    } else if (entry->op.kind == Kind::kCreate) {
      FailEntry(entry);
    } else {
      Retry(entry, options_.max_backoff);
    }
  }
}

void ClaimWriter::ResolveFromStored(const EntryPtr& entry,
                                    const KvEntry* found) {
  ClaimOp& op = entry->op;
  if (IsApplied(op, found)) {
    Complete(entry,
             {.status = Status::kWritten,
              .revision = found ? found->mod_revision : base::Revision(0),
              .found = std::nullopt});
    return;
  }
  if (op.kind == Kind::kRelease) {
    op.guard = found->mod_revision;
  }
  if (!GuardHolds(op, found)) {
    Complete(entry, {.status = Status::kConflict,
                     .revision = {},
                     .found = found ? std::optional(*found) : std::nullopt});
    return;
  }
  // Not applied. Retrying is safe because the guard admits at most one write.
  entry->maybe_written = false;
  Retry(entry, base::Duration::zero());
}

void ClaimWriter::Retry(const EntryPtr& entry, base::Duration backoff) {
  const base::Time now = clock_();
  bool must_fail = false;
  {
    const std::lock_guard lock(mutex_);
    must_fail = stopping_ || now >= entry->deadline ||
                (entry->op.kind == Kind::kCreate && !entry->waiting);
    if (!must_fail) {
      entry->not_before = now + backoff;
      queue_.push_front(entry);
    }
  }
  if (must_fail) {
    FailEntry(entry);
  }
}

void ClaimWriter::FailEntry(const EntryPtr& entry) {
  const bool clean_up = entry->op.kind == Kind::kCreate && entry->maybe_written;
  entry->maybe_written = false;
  Complete(entry, {});
  if (clean_up) {
    ReleaseInBackground(entry->op);
  }
}

void ClaimWriter::Complete(const EntryPtr& entry, ClaimWriteResult result) {
  bool must_release = false;
  {
    const std::lock_guard lock(mutex_);
    const bool written = result.status == Status::kWritten;
    entry->completed = written;
    must_release =
        written && entry->op.kind == Kind::kCreate && !entry->waiting;
  }
  entry->result.set_value(std::move(result));
  if (must_release) {
    ReleaseInBackground(entry->op);
  }
}

}  // namespace lynxglade::request
