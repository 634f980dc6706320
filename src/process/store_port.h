// The platform's key-value store, as far as an entry instance uses it.
//
// The store keeps the operator's configuration, the targets' entries and the
// instances' own presence. Implemented by the platform's adapter; a test
// writes its own.
#ifndef LYNXGLADE_PROCESS_STORE_PORT_H_
#define LYNXGLADE_PROCESS_STORE_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "base/units.h"
#include "connection/event/http_types.h"
#include "process/store_items.h"

namespace lynxglade::process {

// Why a call to the store did not do what it was for.
enum class StoreFault {
  // No answer in time: down, slow or cut off. A write may still take effect.
  kTimeout,
  // The connection was refused or ended. A write may have taken effect.
  kClosed,
  // Refused for now (overload, or this instance is turned away).
  kBusy,
  // The history after that revision is gone; list again.
  kHistoryGone,
  // The lease has ended.
  kNoLease,
  // The condition of a write did not hold.
  kConflict,
  // An answer that cannot be read.
  kMalformed,
};
std::string_view ToString(StoreFault fault) noexcept;

// How new a list has to be.
enum class Freshness {
  // As of the call.
  kCurrent,
  // It may be seconds old, costs the platform a tenth, and is not held against
  // its rates: for instances that start, hundreds of them at a time. A watch
  // from the revision that it is as of tells what it missed.
  kMayBeStale,
};

using LeaseId = base::StrongNumber<struct LeaseIdTag, std::int64_t>;

// What the store holds and how it changes; told by the store, or by another
// instance that watches it. All calls return nothing and set `*fault` on
// failure. Not thread-safe: on the event loop.
class ChangeSource {
 public:
  template <typename T>
  using Result = connection::event::Awaitable<std::optional<T>>;

  virtual ~ChangeSource() = default;

  // Every item under the prefix.
  virtual Result<StoreItems> List(std::string prefix,
                                  Freshness freshness,
                                  StoreFault* fault) = 0;
  // Changes after a revision, in order; waits up to `wait` for the first.
  // An empty list is no failure.
  virtual Result<StoreItems> Watch(std::string prefix,
                                   base::Revision after,
                                   base::Duration wait,
                                   StoreFault* fault) = 0;
};

// The store itself. Calls fail as those of ChangeSource do.
class StorePort : public ChangeSource {
 public:
  virtual Result<LeaseId> GrantLease(base::Duration ttl, StoreFault* fault) = 0;
  virtual Result<LeaseId> RenewLease(LeaseId lease, StoreFault* fault) = 0;
  // Ends the lease and removes its keys.
  virtual Result<LeaseId> RevokeLease(LeaseId lease, StoreFault* fault) = 0;
  // The key as it is now; an item marked deleted if there is none.
  virtual Result<StoreItem> Get(std::string key, StoreFault* fault) = 0;
  // Writes a key that does not exist yet and goes when the lease ends;
  // kConflict if it exists.
  virtual Result<base::Revision> Create(std::string key,
                                        std::string value,
                                        LeaseId lease,
                                        StoreFault* fault) = 0;
  // Writes a key that goes when the lease ends.
  virtual Result<base::Revision> Put(std::string key,
                                     std::string value,
                                     LeaseId lease,
                                     StoreFault* fault) = 0;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_STORE_PORT_H_
