// An in-memory key-value store for tests on one event loop.
#ifndef LYNXGLADE_TESTS_PROCESS_STORE_FAKE_STORE_PORT_H_
#define LYNXGLADE_TESTS_PROCESS_STORE_FAKE_STORE_PORT_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/store/store_port.h"

namespace lynxglade::process::store {

// Runs the loop until `done` returns true; fails the test after a timeout.
void RunUntil(connection::event::asio::io_context& loop,
              const std::function<bool()>& done);

// Runs all ready handlers without waiting.
void RunReady(connection::event::asio::io_context& loop);

class FakeStorePort : public StorePort {
 public:
  explicit FakeStorePort(connection::event::asio::io_context& loop);

  // --- Control of the store by tests.
  void Write(const std::string& key,
             const std::string& value,
             LeaseId lease = LeaseId(0));
  void Remove(const std::string& key);
  // Expires the lease and deletes its keys.
  void Expire(LeaseId lease);
  // Compacts the history: watches from earlier revisions get kHistoryGone.
  void Compact();
  // Makes every call fail with `fault`; nullopt ends this.
  void Fail(std::optional<StoreFault> fault);
  // Ends waiting watches, as a closed connection does.
  void CloseWatches();
  // The next write takes effect, but its response is lost.
  void LoseNextResponse() { lose_next_response_ = true; }

  int lists() const noexcept { return lists_; }
  // Listings that were allowed to be stale.
  int stale_lists() const noexcept { return stale_lists_; }
  // Listings of all keys that had to be current.
  int current_lists_of_all() const noexcept { return current_lists_of_all_; }
  int watches() const noexcept { return watches_; }
  const std::map<std::string, StoreItem>& items() const noexcept {
    return items_;
  }

  // --- StorePort:
  Result<StoreItems> List(std::string prefix,
                          Freshness freshness,
                          StoreFault* fault) override;
  Result<StoreItems> Watch(std::string prefix,
                           base::Revision after,
                           base::Duration wait,
                           StoreFault* fault) override;
  Result<LeaseId> GrantLease(base::Duration ttl, StoreFault* fault) override;
  Result<LeaseId> RenewLease(LeaseId lease, StoreFault* fault) override;
  Result<LeaseId> RevokeLease(LeaseId lease, StoreFault* fault) override;
  Result<StoreItem> Get(std::string key, StoreFault* fault) override;
  Result<base::Revision> Create(std::string key,
                                std::string value,
                                LeaseId lease,
                                StoreFault* fault) override;
  Result<base::Revision> Update(std::string key,
                                std::string value,
                                LeaseId lease,
                                base::Revision if_revision,
                                StoreFault* fault) override;
  Result<base::Revision> Put(std::string key,
                             std::string value,
                             LeaseId lease,
                             StoreFault* fault) override;
  Result<base::Revision> Remove(std::string key,
                                base::Revision if_revision,
                                StoreFault* fault) override;

 private:
  bool Failing(StoreFault* fault) const;
  StoreItems ChangesAfter(const std::string& prefix,
                          base::Revision after) const;
  void Wake();

  connection::event::asio::io_context& loop_;
  std::map<std::string, StoreItem> items_;
  std::map<std::string, LeaseId> lease_of_;
  std::vector<StoreItem> history_;
  std::set<std::int64_t> leases_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
  base::Revision compacted_{0};
  std::optional<StoreFault> failing_;
  bool lose_next_response_ = false;
  int closes_ = 0;
  int lists_ = 0;
  int stale_lists_ = 0;
  int current_lists_of_all_ = 0;
  int watches_ = 0;
  connection::event::asio::steady_timer changed_;
};

}  // namespace lynxglade::process::store

#endif  // LYNXGLADE_TESTS_PROCESS_STORE_FAKE_STORE_PORT_H_
