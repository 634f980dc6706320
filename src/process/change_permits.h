// Permits to take an engine of a service out of service for a change.
//
// A service has as many permits as engines that may be out of service at once,
// over all zones. Each is a key in the key-value service that names the engine.
// A permit is not attached to a lease: when its holder fails, the engine is
// still out of service and the next holder finds the permit by the engine's id.
// An engine that failed to change keeps its permit, which stops the roll-out of
// a bad version.
#ifndef LYNXGLADE_PROCESS_CHANGE_PERMITS_H_
#define LYNXGLADE_PROCESS_CHANGE_PERMITS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "connection/key_value.h"
#include "process/order_store.h"

namespace lynxglade::process {

struct Permit {
  std::string key;
  base::Revision mod_revision;
  base::ServiceName service;
  base::TargetId target;
  base::ZoneId zone;
};

// The lease key, and the revision that it must have for a permit to change.
struct LeaseGuard {
  std::string key;
  base::FencingToken fence;
};

// All permits of the fleet; empty on an error. Blocks.
std::optional<std::vector<Permit>> ListPermits(const OrderStore& store,
                                               connection::KvError* error);

enum class PermitResult {
  kTaken,
  // Other engines hold all permits.
  kNoneFree,
  // The outcome is unknown or the call failed: list the permits again.
  kUnknown,
};

// Takes a free permit of `permit.service` for `permit.target` and sets key and
// revision. If the engine has a permit already, returns that one. Blocks.
PermitResult TakePermit(const OrderStore& store,
                        const LeaseGuard& guard,
                        int max_unavailable,
                        Permit* permit);

// Releases a permit. False means that the outcome is unknown and the call may
// still take effect: repeat it before relying on the permit again. Blocks.
bool ReleasePermit(const OrderStore& store,
                   const LeaseGuard& guard,
                   const Permit& permit);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CHANGE_PERMITS_H_
