// Which instance of a zone is home to which of the zone's targets.
//
// The home polls its targets' load and state and tells the others. Every
// instance works the homes out by itself from the members it sees, by weighted
// rendezvous hashing: each member draws a score for the target and the
// greatest score wins. When a member goes, only its own targets move; when one
// comes, it takes only its share. The ways that were weighed and their
// measurements are in docs/notes/slices.md.
#ifndef LYNXGLADE_PROCESS_SLICES_H_
#define LYNXGLADE_PROCESS_SLICES_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace lynxglade::process {

struct SliceMember {
  base::InstanceId id;
  // Share of the targets relative to other members; a weight of 0 or less
  // takes none.
  double weight = 1.0;
};

// Immutable; cheap to build. Thread-safe.
class Slices {
 public:
  explicit Slices(std::vector<SliceMember> members);

  // The home of a target; empty id when there is no member with a weight.
  const base::InstanceId& OwnerOf(const base::TargetId& target) const noexcept;

  // Of `targets`, those whose home is `instance`, in their order.
  std::vector<base::TargetId> SliceOf(
      const base::InstanceId& instance,
      const std::vector<base::TargetId>& targets) const;

 private:
  std::vector<SliceMember> members_;
  std::vector<std::uint64_t> seeds_;
  base::InstanceId nobody_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SLICES_H_
