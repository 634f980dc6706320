// Selects the instances that relay changes of the store to others.
#ifndef LYNXGLADE_PROCESS_PEERS_RELAY_SELECTION_H_
#define LYNXGLADE_PROCESS_PEERS_RELAY_SELECTION_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "process/peers/instance_presence.h"

namespace lynxglade::process::peers {

struct RelaySelectionOptions {
  base::InstanceId instance = base::InstanceId("");
  base::ZoneId zone = base::ZoneId("");
  // Rate of this instance's link, in Mbit/s; 0 if unknown.
  int link_mbps = 0;
  // Fewer instances do not share watches: it would save few calls.
  std::size_t min_instances = 8;
  // Relays of a group; the second covers for the loss of the first.
  std::size_t min_relays = 2;
  // A group has another relay for each of so many instances, which bounds what
  // a relay sends.
  std::size_t instances_per_relay = 256;
};

// The instances that share watches with this one, itself included: those of its
// zone, or, if these are too few, those of all zones that have too few. Empty
// if the latter are too few as well.
std::vector<InstancePeer> SharingGroup(const std::vector<InstancePeer>& peers,
                                       const RelaySelectionOptions& options);

// Selects the relays of this instance's group, the primary first; empty if it
// does not share watches. Instances with faster links are preferred. All
// instances with the same peers select the same relays, and a joining or
// leaving instance replaces at most one.
std::vector<base::InstanceId> SelectRelays(
    const std::vector<InstancePeer>& peers,
    const RelaySelectionOptions& options);

// The instances of the group that are no relays, those first that would become
// relays next. All instances with the same peers rank them alike.
std::vector<InstancePeer> RankWithoutRelays(
    const std::vector<InstancePeer>& peers,
    const RelaySelectionOptions& options);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_RELAY_SELECTION_H_
