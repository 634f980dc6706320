#include "fakes/kv_store.h"

#include <algorithm>
#include <utility>

namespace lynxglade::fakes {

namespace {

using base::Revision;
using connection::KvLeaseId;

constexpr std::size_t kMaxHistory = 200'000;
const std::string& NoEnd() {
  static const std::string no_end(1, '\0');
  return no_end;
}

}  // namespace

bool KvSpan::Contains(const std::string& other) const {
  if (end.empty()) {
    return other == key;
  }
  return other >= key && (end == NoEnd() || other < end);
}

std::vector<KvRecord> KvStore::Range(const KvSpan& span,
                                     std::int64_t limit,
                                     std::int64_t* count) const {
  std::vector<KvRecord> found;
  *count = 0;
  for (auto it = records_.lower_bound(span.key);
       it != records_.end() && span.Contains(it->first); ++it) {
    ++*count;
    if (limit == 0 || *count <= limit) {
      found.push_back(it->second);
    }
  }
  return found;
}

KvRecord KvStore::Get(const std::string& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? KvRecord{} : it->second;
}

bool KvStore::Put(const std::string& key,
                  const std::string& value,
                  KvLeaseId lease) {
  if (lease.value() != 0 && !leases_.contains(lease)) {
    return false;
  }
  KvRecord record = Get(key);
  Detach(record);
  record.entry.key = key;
  record.entry.value = value;
  record.entry.lease = lease;
  record.entry.mod_revision = NextRevision();
  if (record.version == 0) {
    record.entry.create_revision = NextRevision();
  }
  ++record.version;
  if (lease.value() != 0) {
    leases_[lease].keys.insert(key);
  }
  records_[key] = record;
  AppendHistory({NextRevision(), false, std::move(record)});
  return true;
}

std::int64_t KvStore::Delete(const KvSpan& span) {
  std::int64_t deleted = 0;
  auto it = records_.lower_bound(span.key);
  while (it != records_.end() && span.Contains(it->first)) {
    Detach(it->second);
    KvRecord gone;
    gone.entry.key = it->first;
    gone.entry.mod_revision = NextRevision();
    AppendHistory({NextRevision(), true, std::move(gone)});
    it = records_.erase(it);
    ++deleted;
  }
  return deleted;
}

void KvStore::Commit() noexcept {
  if (std::exchange(changed_, false)) {
    revision_ = NextRevision();
  }
}

KvLeaseId KvStore::Grant(KvLeaseId requested,
                         base::Duration ttl,
                         base::Time now) {
  const KvLeaseId id =
      requested.value() != 0 ? requested : KvLeaseId(next_lease_++);
  leases_[id] = {ttl, now + ttl, {}};
  return id;
}

base::Duration KvStore::KeepAlive(KvLeaseId lease, base::Time now) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return {};
  }
  it->second.expires = now + it->second.ttl;
  return it->second.ttl;
}

bool KvStore::Revoke(KvLeaseId lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return false;
  }
  const std::set<std::string> keys = std::move(it->second.keys);
  leases_.erase(it);
  Begin();
  std::ranges::for_each(keys,
                        [this](const std::string& key) { Delete({key, ""}); });
  Commit();
  return true;
}

void KvStore::Expire(base::Time now) {
  std::vector<KvLeaseId> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) {
      over.push_back(id);
    }
  }
  std::ranges::for_each(over, [this](KvLeaseId id) { Revoke(id); });
}

Revision KvStore::NextRevision() const noexcept {
  return revision_ + Revision(1);
}

void KvStore::Detach(const KvRecord& record) {
  if (const auto it = leases_.find(record.entry.lease); it != leases_.end()) {
    it->second.keys.erase(record.entry.key);
  }
}

void KvStore::AppendHistory(KvChange change) {
  changed_ = true;
  history_.push_back(std::move(change));
  if (history_.size() > kMaxHistory) {
    // Removes all changes of a revision together, so that a watch never
    // delivers part of a revision.
    const Revision gone = history_.front().revision;
    while (!history_.empty() && history_.front().revision == gone) {
      history_.pop_front();
    }
    oldest_history_ = gone + Revision(1);
  }
}

}  // namespace lynxglade::fakes
