#include "process/link_choice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "base/hash.h"

namespace lynxglade::process {

namespace {

using Ids = std::vector<base::InstanceId>;

// Sorts by salted hash; all instances get the same order.
void SortByHash(Ids* ids, std::string_view salt) {
  std::vector<std::pair<std::uint64_t, base::InstanceId>> ranked;
  std::ranges::transform(*ids, std::back_inserter(ranked),
                         [&](const base::InstanceId& id) {
                           return std::pair(base::HashPair(salt, id.str()), id);
                         });
  std::ranges::sort(ranked);
  std::ranges::transform(ranked, ids->begin(),
                         [](const auto& entry) { return entry.second; });
}

std::size_t IndexOf(const Ids& ids, const base::InstanceId& id) {
  return static_cast<std::size_t>(std::ranges::find(ids, id) - ids.begin());
}

void AddRingLinks(const base::InstanceId& self,
                  Ids ring,
                  std::size_t links,
                  std::set<base::InstanceId>* chosen) {
  SortByHash(&ring, "ring");
  const std::size_t n = ring.size();
  const std::size_t index = IndexOf(ring, self);
  for (std::size_t i = 0; i < links; ++i) {
    const double step =
        std::pow(static_cast<double>(n),
                 static_cast<double>(i) / static_cast<double>(links));
    const auto offset = static_cast<std::size_t>(std::lround(step));
    chosen->insert(ring[(index + offset) % n]);
  }
}

// Both zones rank the members of both zones in the same way, so that relay i of
// one zone and relay i of the other select each other.
void AddRelayLinks(const LinkCandidate& self,
                   Ids own,
                   const base::ZoneId& other_zone,
                   Ids other,
                   std::size_t relays,
                   std::set<base::InstanceId>* chosen) {
  SortByHash(&own, other_zone.str());
  SortByHash(&other, self.zone.str());
  for (std::size_t i = 0; i < relays; ++i) {
    if (own[i % own.size()] == self.id) {
      chosen->insert(other[i % other.size()]);
    }
  }
}

}  // namespace

std::vector<base::InstanceId> ChooseLinks(
    const LinkCandidate& self,
    const std::vector<LinkCandidate>& candidates,
    const LinkChoiceOptions& options) {
  std::map<base::ZoneId, std::set<base::InstanceId>> zones;
  zones[self.zone].insert(self.id);
  for (const LinkCandidate& candidate : candidates) {
    zones[candidate.zone].insert(candidate.id);
  }
  const Ids own(zones[self.zone].begin(), zones[self.zone].end());
  std::set<base::InstanceId> chosen;
  for (const auto& [zone, members] : zones) {
    if (zone == self.zone) {
      AddRingLinks(self.id, own, options.zone_links, &chosen);
    } else {
      AddRelayLinks(self, own, zone, Ids(members.begin(), members.end()),
                    options.zone_relays, &chosen);
    }
  }
  chosen.erase(self.id);
  return {chosen.begin(), chosen.end()};
}

}  // namespace lynxglade::process
