// Interface of the platform's key-value store for entry instances.
//
// The store holds the operator's configuration, the targets' entries and the
// instances' own keys. Implemented by the platform adapter.
#ifndef LYNXGLADE_PROCESS_STORE_STORE_PORT_H_
#define LYNXGLADE_PROCESS_STORE_STORE_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "base/units.h"
#include "connection/event/http_types.h"
#include "process/store/store_items.h"

namespace lynxglade::process::store {

// Why a call to the store failed.
enum class StoreFault {
  // No response in time. A write may still take effect.
  kTimeout,
  // The connection was refused or closed. A write may have taken effect.
  kClosed,
  // Rejected for now: the store is overloaded or rejects this instance.
  kBusy,
  // The history after the revision has been compacted; list again.
  kHistoryGone,
  // The lease has expired or was revoked.
  kNoLease,
  // The condition of a write did not hold.
  kConflict,
  // The response could not be decoded.
  kMalformed,
};
std::string_view ToString(StoreFault fault) noexcept;

// How current a listing has to be.
enum class Freshness {
  // At least as new as the call.
  kCurrent,
  // May be seconds old. Far cheaper for the platform and exempt from its rate
  // limits, for hundreds of instances that start together. A watch from the
  // listing's revision returns the changes that it lacks.
  kMayBeStale,
};

using LeaseId = base::StrongNumber<struct LeaseIdTag, std::int64_t>;

// Source of listings and changes: the store, or another instance that watches
// it. On failure all calls return nullopt and set `*fault`. Not thread-safe:
// runs on the event loop.
class ChangeSource {
 public:
  template <typename T>
  using Result = connection::event::Awaitable<std::optional<T>>;

  virtual ~ChangeSource() = default;

  // Returns all items under the prefix.
  virtual Result<StoreItems> List(std::string prefix,
                                  Freshness freshness,
                                  StoreFault* fault) = 0;
  // Returns the changes after a revision, in revision order; waits up to `wait`
  // for the first. No change within `wait` is not a failure.
  virtual Result<StoreItems> Watch(std::string prefix,
                                   base::Revision after,
                                   base::Duration wait,
                                   StoreFault* fault) = 0;
};

// The store itself. Reports failures as ChangeSource does.
class StorePort : public ChangeSource {
 public:
  virtual Result<LeaseId> GrantLease(base::Duration ttl, StoreFault* fault) = 0;
  virtual Result<LeaseId> RenewLease(LeaseId lease, StoreFault* fault) = 0;
  // Revokes the lease, which deletes its keys.
  virtual Result<LeaseId> RevokeLease(LeaseId lease, StoreFault* fault) = 0;
  // Returns the current item, or one marked as deleted if the key is missing.
  virtual Result<StoreItem> Get(std::string key, StoreFault* fault) = 0;
  // Creates a key bound to the lease; kConflict if it exists.
  virtual Result<base::Revision> Create(std::string key,
                                        std::string value,
                                        LeaseId lease,
                                        StoreFault* fault) = 0;
  // Writes a key that has the revision (0: does not exist), bound to the lease;
  // kConflict if it has another. LeaseId(0) is no lease: the key stays.
  virtual Result<base::Revision> Update(std::string key,
                                        std::string value,
                                        LeaseId lease,
                                        base::Revision if_revision,
                                        StoreFault* fault) = 0;
  // Writes a key bound to the lease.
  virtual Result<base::Revision> Put(std::string key,
                                     std::string value,
                                     LeaseId lease,
                                     StoreFault* fault) = 0;
  // Deletes a key that has the revision; kConflict if it has another.
  virtual Result<base::Revision> Remove(std::string key,
                                        base::Revision if_revision,
                                        StoreFault* fault) = 0;
};

}  // namespace lynxglade::process::store

#endif  // LYNXGLADE_PROCESS_STORE_STORE_PORT_H_
