// Contents of the fake key-value service: keys with revisions, leases and the
// change history that watches read.
//
// Copyable: a copy is a backup, and assigning it back is a restore. Not
// thread-safe.
#ifndef LYNXGLADE_FAKES_KV_STORE_H_
#define LYNXGLADE_FAKES_KV_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/units.h"
#include "connection/key_value.h"

namespace lynxglade::fakes {

struct KvRecord {
  connection::KvEntry entry;
  std::int64_t version = 0;
};

// The keys [key, end). An empty end selects the single key; an end of one zero
// byte selects all keys from `key` on.
struct KvSpan {
  std::string key;
  std::string end;

  bool Contains(const std::string& other) const;
};

struct KvChange {
  base::Revision revision;
  bool deleted = false;
  KvRecord record;
};

class KvStore {
 public:
  // Returns at most `limit` keys in order (0: all); sets `count` to the number
  // of all keys in the span.
  std::vector<KvRecord> Range(const KvSpan& span,
                              std::int64_t limit,
                              std::int64_t* count) const;
  // Returns the record, with zero revisions if the key does not exist.
  KvRecord Get(const std::string& key) const;

  // Writes between Begin() and Commit() share one revision.
  void Begin() noexcept { changed_ = false; }
  // False when the lease does not exist.
  bool Put(const std::string& key,
           const std::string& value,
           connection::KvLeaseId lease);
  // Returns the number of keys deleted.
  std::int64_t Delete(const KvSpan& span);
  void Commit() noexcept;

  connection::KvLeaseId Grant(connection::KvLeaseId requested,
                              base::Duration ttl,
                              base::Time now);
  // Renews the lease and returns its TTL; zero if it does not exist.
  base::Duration KeepAlive(connection::KvLeaseId lease, base::Time now);
  bool HasLease(connection::KvLeaseId lease) const {
    return leases_.contains(lease);
  }
  bool Revoke(connection::KvLeaseId lease);
  // Revokes expired leases.
  void Expire(base::Time now);

  base::Revision revision() const noexcept { return revision_; }
  // Changes with revisions from oldest_history() on, oldest first.
  const std::deque<KvChange>& history() const noexcept { return history_; }
  base::Revision oldest_history() const noexcept { return oldest_history_; }
  std::size_t lease_count() const noexcept { return leases_.size(); }

 private:
  struct Lease {
    base::Duration ttl{};
    base::Time expires{};
    std::set<std::string> keys;
  };

  base::Revision NextRevision() const noexcept;
  void Detach(const KvRecord& record);
  void AppendHistory(KvChange change);

  std::map<std::string, KvRecord> records_;
  std::map<connection::KvLeaseId, Lease> leases_;
  std::deque<KvChange> history_;
  base::Revision oldest_history_{1};
  base::Revision revision_{1};
  std::int64_t next_lease_ = 1000;
  bool changed_ = false;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_KV_STORE_H_
