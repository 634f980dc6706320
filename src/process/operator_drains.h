// Sets and removes operators' drains of targets in the key-value service.
#ifndef LYNXGLADE_PROCESS_OPERATOR_DRAINS_H_
#define LYNXGLADE_PROCESS_OPERATOR_DRAINS_H_

#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "process/order_store.h"

namespace lynxglade::process {

enum class DrainResult {
  kDone,
  // The target was already in the requested state.
  kUnchanged,
  // A concurrent call changed the drain; repeat the call.
  kConflict,
  // The key-value service is unavailable; nothing was changed.
  kUnavailable,
  // The outcome is unknown; the call can be repeated safely.
  kUnknown,
};

// Sets or removes the drain of a target. Blocks.
DrainResult SetDrain(const OrderStore& store,
                     const base::TargetId& target,
                     const std::string& drain_id);
DrainResult RemoveDrain(const OrderStore& store, const base::TargetId& target);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_OPERATOR_DRAINS_H_
