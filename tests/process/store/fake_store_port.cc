#include "process/store/fake_store_port.h"

#include <utility>

#include <gtest/gtest.h>

namespace lynxglade::process::store {

namespace {

using connection::event::ErrorCode;
using connection::event::Into;
namespace asio = connection::event::asio;

// Far longer than any wait in these tests.
constexpr auto kTestTimeout = std::chrono::seconds(20);

}  // namespace

void RunUntil(asio::io_context& loop, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!done()) {
    loop.restart();
    loop.run_one_until(end);
    if (std::chrono::steady_clock::now() >= end) {
      FAIL() << "condition not met within 20 s";
    }
  }
}

void RunReady(asio::io_context& loop) {
  loop.restart();
  loop.poll();
}

FakeStorePort::FakeStorePort(asio::io_context& loop)
    : loop_(loop), changed_(loop, asio::steady_timer::time_point::max()) {}

void FakeStorePort::Write(const std::string& key,
                          const std::string& value,
                          LeaseId lease) {
  StoreItem item;
  item.key = key;
  item.value = value;
  item.revision = base::Revision(++revision_);
  items_[key] = item;
  lease_of_[key] = lease;
  history_.push_back(item);
  Wake();
}

void FakeStorePort::Remove(const std::string& key) {
  StoreItem gone;
  gone.key = key;
  gone.revision = base::Revision(++revision_);
  gone.deleted = true;
  items_.erase(key);
  lease_of_.erase(key);
  history_.push_back(gone);
  Wake();
}

void FakeStorePort::Expire(LeaseId lease) {
  leases_.erase(lease.value());
  std::vector<std::string> keys;
  for (const auto& [key, owner] : lease_of_) {
    if (owner == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
}

void FakeStorePort::Compact() {
  compacted_ = base::Revision(revision_);
  Wake();
}

void FakeStorePort::Fail(std::optional<StoreFault> fault) {
  failing_ = fault;
  Wake();
}

void FakeStorePort::CloseWatches() {
  ++closes_;
  Wake();
}

void FakeStorePort::Wake() {
  changed_.cancel();
}

bool FakeStorePort::Failing(StoreFault* fault) const {
  if (failing_) {
    *fault = *failing_;
  }
  return failing_.has_value();
}

StoreItems FakeStorePort::ChangesAfter(const std::string& prefix,
                                       base::Revision after) const {
  StoreItems changes;
  changes.revision = base::Revision(revision_);
  for (const StoreItem& item : history_) {
    if (item.revision > after && item.key.starts_with(prefix)) {
      changes.items.push_back(item);
    }
  }
  return changes;
}

StorePort::Result<StoreItems> FakeStorePort::List(std::string prefix,
                                                  Freshness freshness,
                                                  StoreFault* fault) {
  ++lists_;
  const bool current = freshness == Freshness::kCurrent;
  stale_lists_ += current ? 0 : 1;
  current_lists_of_all_ += current && prefix.empty() ? 1 : 0;
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  StoreItems all;
  all.revision = base::Revision(revision_);
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) {
      all.items.push_back(item);
    }
  }
  co_return all;
}

StorePort::Result<StoreItems> FakeStorePort::Watch(std::string prefix,
                                                   base::Revision after,
                                                   base::Duration wait,
                                                   StoreFault* fault) {
  ++watches_;
  const int closes = closes_;
  while (true) {
    if (Failing(fault)) {
      co_return std::nullopt;
    }
    if (closes != closes_) {
      *fault = StoreFault::kClosed;
      co_return std::nullopt;
    }
    if (after < compacted_) {
      *fault = StoreFault::kHistoryGone;
      co_return std::nullopt;
    }
    StoreItems changes = ChangesAfter(prefix, after);
    if (!changes.items.empty()) {
      co_return changes;
    }
    ErrorCode ec;
    co_await changed_.async_wait(Into(ec));
  }
}

StorePort::Result<LeaseId> FakeStorePort::GrantLease(base::Duration ttl,
                                                     StoreFault* fault) {
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  const LeaseId lease(next_lease_++);
  leases_.insert(lease.value());
  co_return lease;
}

StorePort::Result<LeaseId> FakeStorePort::RenewLease(LeaseId lease,
                                                     StoreFault* fault) {
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  if (!leases_.contains(lease.value())) {
    *fault = StoreFault::kNoLease;
    co_return std::nullopt;
  }
  co_return lease;
}

StorePort::Result<LeaseId> FakeStorePort::RevokeLease(LeaseId lease,
                                                      StoreFault* fault) {
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  Expire(lease);
  co_return lease;
}

StorePort::Result<StoreItem> FakeStorePort::Get(std::string key,
                                                StoreFault* fault) {
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  const auto it = items_.find(key);
  if (it != items_.end()) {
    co_return it->second;
  }
  StoreItem missing;
  missing.key = key;
  missing.deleted = true;
  co_return missing;
}

StorePort::Result<base::Revision> FakeStorePort::Create(std::string key,
                                                        std::string value,
                                                        LeaseId lease,
                                                        StoreFault* fault) {
  if (items_.contains(key)) {
    *fault = StoreFault::kConflict;
    co_return std::nullopt;
  }
  co_return co_await Put(key, value, lease, fault);
}

StorePort::Result<base::Revision> FakeStorePort::Update(
    std::string key,
    std::string value,
    LeaseId lease,
    base::Revision if_revision,
    StoreFault* fault) {
  const auto it = items_.find(key);
  const base::Revision current =
      it == items_.end() ? base::Revision(0) : it->second.revision;
  if (current != if_revision) {
    *fault = StoreFault::kConflict;
    co_return std::nullopt;
  }
  co_return co_await Put(key, value, lease, fault);
}

StorePort::Result<base::Revision> FakeStorePort::Remove(
    std::string key,
    base::Revision if_revision,
    StoreFault* fault) {
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  const auto it = items_.find(key);
  if (it == items_.end() || it->second.revision != if_revision) {
    *fault = StoreFault::kConflict;
    co_return std::nullopt;
  }
  Remove(key);
  co_return base::Revision(revision_);
}

StorePort::Result<base::Revision> FakeStorePort::Put(std::string key,
                                                     std::string value,
                                                     LeaseId lease,
                                                     StoreFault* fault) {
  if (Failing(fault)) {
    co_return std::nullopt;
  }
  Write(key, value, lease);
  if (std::exchange(lose_next_response_, false)) {
    *fault = StoreFault::kTimeout;
    co_return std::nullopt;
  }
  co_return base::Revision(revision_);
}

}  // namespace lynxglade::process::store
