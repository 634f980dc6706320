// Assigns each target of a zone to one owner among the zone's instances.
//
// The owner polls the target's load and state and shares them with the others.
// Each instance computes the assignment locally from its list of members by
// weighted rendezvous hashing: the member with the greatest score for a target
// owns it. When a member leaves, only its targets move; when one joins, it
// takes only its share. See docs/design/slices.md.
#ifndef LYNXGLADE_PROCESS_SLICES_H_
#define LYNXGLADE_PROCESS_SLICES_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace lynxglade::process {

struct SliceMember {
  base::InstanceId id;
  // Share of the targets relative to the other members; a member with a weight
  // of 0 or less owns none.
  double weight = 1.0;
};

// Immutable and thread-safe; cheap to construct.
class Slices {
 public:
  explicit Slices(std::vector<SliceMember> members);

  // The owner of a target; an empty id if no member has a positive weight.
  const base::InstanceId& OwnerOf(const base::TargetId& target) const noexcept;

  // The targets owned by `instance`, in the order of `targets`.
  std::vector<base::TargetId> SliceOf(
      const base::InstanceId& instance,
      const std::vector<base::TargetId>& targets) const;

 private:
  std::vector<SliceMember> members_;
  std::vector<std::uint64_t> seeds_;
  base::InstanceId no_owner_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SLICES_H_
