// Selects the few peers that an instance links to. Each instance computes its
// selection from its own list of members; together the links connect all
// instances within a few hops.
//
// Within a zone the members form a ring ordered by hashed id. Each member links
// to those at the distances 1, n^(1/k), n^(2/k), ... on the ring of n members,
// for k links. Between two zones, a few relays on each side, selected by
// hashing, link to each other.
#ifndef LYNXGLADE_PROCESS_LINK_CHOICE_H_
#define LYNXGLADE_PROCESS_LINK_CHOICE_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace lynxglade::process {

struct LinkCandidate {
  base::InstanceId id;
  base::ZoneId zone;
};

struct LinkChoiceOptions {
  // Number of links that each member starts within its zone.
  std::size_t zone_links = 2;
  // Number of relay links between each pair of zones.
  std::size_t zone_relays = 2;
};

// Returns the peers that `self` starts links to, sorted and without `self`.
// `candidates` may be in any order and contain `self`.
std::vector<base::InstanceId> ChooseLinks(
    const LinkCandidate& self,
    const std::vector<LinkCandidate>& candidates,
    const LinkChoiceOptions& options);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LINK_CHOICE_H_
