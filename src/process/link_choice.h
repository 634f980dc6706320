// Which few peers an instance links to, worked out by each from the members
// it sees, so that all links together connect everybody within a few hops.
//
// In a zone the members form a ring in the order of their hashed ids; each
// links to the ones 1, n^(1/k), n^(2/k), ... places further on. Between two
// zones a few relays on each side, chosen by rendezvous, link to each other.
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
  // Links that each member starts within its zone.
  std::size_t zone_links = 2;
  // Relays between each pair of zones.
  std::size_t zone_relays = 2;
};

// The peers that `self` starts links to. `candidates` may hold `self` and is
// in any order; the result has no doubles and does not hold `self`.
std::vector<base::InstanceId> ChooseLinks(
    const LinkCandidate& self,
    const std::vector<LinkCandidate>& candidates,
    const LinkChoiceOptions& options);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LINK_CHOICE_H_
