// The right to have an engine of a service out for a change.
//
// A service has as many permits as engines of it may be out at once, over all
// zones; each is a key in the key-value service that names the engine. A
// permit outlives its taker: the engine is still out when its holder dies, and
// the successor finds the permit by the engine's id. An engine that failed to
// change keeps its permit, which halts the roll-out of a bad version.
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

// What must hold for the taker's authority.
struct LeaseGuard {
  std::string key;
  base::FencingToken fence;
};

// All permits of the fleet. Blocks.
std::optional<std::vector<Permit>> ListPermits(const OrderStore& store,
                                               connection::KvError* last_error);

enum class PermitResult {
  kTaken,
  // All are taken by other engines.
  kNoneFree,
  // Not known, or the service gave no answer: list again.
  kUnknown,
};

// Takes a free permit of `permit.service` for `permit.target`; fills in key
// and revision. An engine never gets a second one. Blocks.
PermitResult TakePermit(const OrderStore& store,
                        const LeaseGuard& guard,
                        int max_unavailable,
                        Permit* permit);

// Gives it back. False: not known, so the call may still take effect; repeat it
// before the permit is relied on again. Blocks.
bool ReleasePermit(const OrderStore& store,
                   const LeaseGuard& guard,
                   const Permit& permit);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CHANGE_PERMITS_H_
