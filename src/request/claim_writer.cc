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

// The entry of that key; null when absent.
const KvEntry* FindKey(const std::vector<KvEntry>& entries,
                       const std::string& key) {
  const auto it = std::ranges::find(entries, key, &KvEntry::key);
  return it == entries.end() ? nullptr : &*it;
}

// Whether the key as found lets the operation go on.
bool GuardHolds(const ClaimOp& op, const KvEntry* found) {
  const base::Revision revision =
      found == nullptr ? base::Revision(0) : found->mod_revision;
  return revision == op.guard;
}

// Whether the key as found shows that the operation was done before.
bool IsDone(const ClaimOp& op, const KvEntry* found) {
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
  base::Time give_up{};
  // A write whose answer was lost: it may have taken effect.
  bool maybe_written = false;
  // Under the writer's mutex.
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
    ending_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

ClaimWriteResult ClaimWriter::Write(ClaimOp op, base::Duration wait) {
  auto entry = std::make_shared<Entry>();
  entry->op = std::move(op);
  entry->give_up = clock_() + options_.background_timeout;
  std::future<ClaimWriteResult> result = entry->result.get_future();
  if (!Enqueue(entry)) {
    return {};
  }
  if (result.wait_for(wait) == std::future_status::ready) {
    return result.get();
  }
  return entry->op.kind == Kind::kCreate
             ? Abandon(entry)
             : ClaimWriteResult{.status = Status::kPending,
                                .revision = {},
                                .found = std::nullopt};
}

std::size_t ClaimWriter::queued() const {
  const std::lock_guard lock(mutex_);
  return queue_.size();
}

// Nobody waits for a create any more: it must not stay claimed.
ClaimWriteResult ClaimWriter::Abandon(const EntryPtr& entry) {
  bool maybe_written = false;
  {
    const std::lock_guard lock(mutex_);
    entry->waiting = false;
    const auto it = std::ranges::find(queue_, entry);
    if (it != queue_.end()) {
      queue_.erase(it);
      maybe_written = entry->maybe_written;
    } else {
      // Completed just now; if it is still under way, Complete() cleans up.
      maybe_written = entry->completed;
    }
  }
  if (maybe_written) {
    ReleaseLater(entry->op);
  }
  return {};
}

void ClaimWriter::ReleaseLater(const ClaimOp& create) {
  auto entry = std::make_shared<Entry>();
  entry->op = {.kind = Kind::kRelease,
               .key = create.key,
               .value = create.value,
               .guard = base::Revision(0)};
  entry->give_up = clock_() + options_.background_timeout;
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

// --- The writing thread -----------------------------------------------------

void ClaimWriter::Loop() {
  while (const std::optional<Batch> batch = NextBatch()) {
    WriteBatch(*batch);
  }
}

std::optional<ClaimWriter::Batch> ClaimWriter::NextBatch() {
  std::unique_lock lock(mutex_);
  while (true) {
    const base::Time now = clock_();
    if (ending_ && queue_.empty()) {
      return std::nullopt;
    }
    const base::Duration wait =
        ending_ ? base::Duration::zero() : UntilReady(now);
    if (wait <= base::Duration::zero()) {
      return TakeReady(now);
    }
    wake_.wait_for(lock, wait);
  }
}

// Zero when there is something to do.
base::Duration ClaimWriter::UntilReady(base::Time now) const {
  if (queue_.empty()) {
    return options_.max_backoff;
  }
  const auto first = std::ranges::min_element(
      queue_, {}, [](const EntryPtr& entry) { return entry->not_before; });
  return std::max((*first)->not_before, paused_until_) - now;
}

ClaimWriter::Batch ClaimWriter::TakeReady(base::Time now) {
  Batch batch;
  std::set<std::string> keys;
  std::size_t bytes = 0;
  std::deque<EntryPtr> rest;
  for (EntryPtr& entry : queue_) {
    const bool ready = ending_ || entry->not_before <= now;
    const bool fits = batch.empty() || (batch.size() < options_.max_batch &&
                                        bytes + entry->op.value.size() <=
                                            options_.max_batch_bytes);
    // A transaction may write a key once only.
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
  // A release that does not know its revision, and a write whose answer was
  // lost, look first.
  Batch unsure;
  Batch batch;
  std::ranges::partition_copy(
      all, std::back_inserter(unsure), std::back_inserter(batch),
      [](const EntryPtr& entry) {
        return entry->maybe_written || (entry->op.kind == Kind::kRelease &&
                                        entry->op.guard.value() == 0);
      });
  ReadBack(unsure);
  if (batch.empty()) {
    return;
  }
  KvError error = KvError::kNone;
  const std::optional<connection::KvLeaseId> lease = Lease(&error);
  if (!lease) {
    Fail(batch, error == KvError::kAmbiguous ? KvError::kUnreachable : error);
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
    Settle(batch, *txn);
  } else {
    Fail(batch, error);
  }
}

// One lease serves all claims of a period, so leases are few and need no
// keep-alive. A lost answer leaves a lease behind that runs out by itself.
std::optional<connection::KvLeaseId> ClaimWriter::Lease(KvError* error) {
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

void ClaimWriter::Settle(const Batch& batch,
                         const connection::KvTxnResult& txn) {
  SetPause(pause_ * 9 / 10);
  if (!txn.committed) {
    // Those that stood in the way get their verdict, the others go again.
    std::ranges::for_each(batch, [&](const EntryPtr& entry) {
      JudgeFound(entry, FindKey(txn.found, entry->op.key));
    });
    return;
  }
  std::ranges::for_each(batch, [&](const EntryPtr& entry) {
    Complete(entry, {.status = Status::kWritten,
                     .revision = txn.revision,
                     .found = std::nullopt});
  });
}

void ClaimWriter::Fail(const Batch& batch, KvError error) {
  if (error == KvError::kBadAnswer) {
    // The lease may be gone, as after the service was set back.
    lease_ = {};
  }
  if (error == KvError::kRateLimited) {
    SetPause(std::max(pause_ * 3 / 2, options_.min_backoff));
  }
  if (error == KvError::kAmbiguous) {
    std::ranges::for_each(
        batch, [](const EntryPtr& entry) { entry->maybe_written = true; });
    ReadBack(batch);
    return;
  }
  for (const EntryPtr& entry : batch) {
    const bool worth_waiting =
        error == KvError::kRateLimited || entry->op.kind != Kind::kCreate;
    if (worth_waiting) {
      // A refused call is paced for all of the queue by SetPause().
      Retry(entry, error == KvError::kRateLimited ? base::Duration::zero()
                                                  : options_.max_backoff);
    } else {
      GiveUp(entry);
    }
  }
}

// The time between two calls grows with each refusal and shrinks with each
// success, so that instances share what the service takes; one that only
// backed off would starve beside others that do not.
void ClaimWriter::SetPause(base::Duration pause) {
  const bool none = pause < options_.min_backoff / 2;
  pause_ =
      none ? base::Duration::zero() : std::min(pause, options_.max_backoff);
  const auto jittered = std::chrono::duration_cast<base::Duration>(
      pause_ * (0.5 + base::UniformReal(random_)));
  const std::lock_guard lock(mutex_);
  paused_until_ = clock_() + jittered;
}

// After a lost answer, the service is asked what holds: a transaction that
// writes nothing and wants every key absent names those that are there.
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
      JudgeFound(entry, FindKey(txn->found, entry->op.key));
    } else if (entry->op.kind == Kind::kCreate) {
      GiveUp(entry);
    } else {
      Retry(entry, options_.max_backoff);
    }
  }
}

void ClaimWriter::JudgeFound(const EntryPtr& entry, const KvEntry* found) {
  ClaimOp& op = entry->op;
  if (IsDone(op, found)) {
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
  // Not done: it is safe to ask again, since the guard lets in one at most.
  entry->maybe_written = false;
  Retry(entry, base::Duration::zero());
}

void ClaimWriter::Retry(const EntryPtr& entry, base::Duration pause) {
  const base::Time now = clock_();
  bool over = false;
  {
    const std::lock_guard lock(mutex_);
    over = ending_ || now >= entry->give_up ||
           (entry->op.kind == Kind::kCreate && !entry->waiting);
    if (!over) {
      entry->not_before = now + pause;
      queue_.push_front(entry);
    }
  }
  if (over) {
    GiveUp(entry);
  }
}

void ClaimWriter::GiveUp(const EntryPtr& entry) {
  const bool clean_up = entry->op.kind == Kind::kCreate && entry->maybe_written;
  entry->maybe_written = false;
  Complete(entry, {});
  if (clean_up) {
    ReleaseLater(entry->op);
  }
}

void ClaimWriter::Complete(const EntryPtr& entry, ClaimWriteResult result) {
  bool unwanted = false;
  {
    const std::lock_guard lock(mutex_);
    const bool written = result.status == Status::kWritten;
    entry->completed = written;
    unwanted = written && entry->op.kind == Kind::kCreate && !entry->waiting;
  }
  entry->result.set_value(std::move(result));
  if (unwanted) {
    ReleaseLater(entry->op);
  }
}

}  // namespace lynxglade::request
