// Operators' drains, kept in the key-value service.
#ifndef LYNXGLADE_PROCESS_DRAIN_MARKS_H_
#define LYNXGLADE_PROCESS_DRAIN_MARKS_H_

#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "process/order_store.h"

namespace lynxglade::process {

enum class DrainResult {
  kDone,
  // It was so before.
  kUnchanged,
  // Another operator's call came between; repeat.
  kConflict,
  // The service gave no answer; nothing was changed.
  kUnavailable,
  // The service gave no answer, and the outcome is not known; repeating is
  // harmless.
  kUnknown,
};

// Sets or lifts the drain of a target. Blocks.
DrainResult SetDrain(const OrderStore& store,
                     const base::TargetId& target,
                     const std::string& mark);
DrainResult LiftDrain(const OrderStore& store, const base::TargetId& target);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_DRAIN_MARKS_H_
