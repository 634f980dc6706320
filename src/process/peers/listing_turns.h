// When the instances of a group that no relay serves may list the store.
//
// All of them at once would saturate the store's link. They take turns by their
// rank, an order on which all instances with the same peers agree. A few have
// their turn at once and stand in for the relays: they list the store and serve
// the others. Each further step admits more, as those before them may be
// rejected by the store, or be lost. In one step no more are admitted than the
// store's link can serve within it, as a sum over all groups.
#ifndef LYNXGLADE_PROCESS_PEERS_LISTING_TURNS_H_
#define LYNXGLADE_PROCESS_PEERS_LISTING_TURNS_H_

#include <cstddef>

#include "base/time.h"

namespace lynxglade::process::peers {

struct ListingTurnsOptions {
  // Rate of the store's link, in Mbit/s.
  double store_link_mbps = 1000;
  // Length of a step besides the time in which an instance receives a listing.
  base::Duration response_time = std::chrono::milliseconds(250);
  // Instances that are admitted in each step at least. The second covers for
  // the loss of the first.
  std::size_t min_admitted = 2;
  // By how much the number of those admitted grows with each step.
  std::size_t growth_factor = 4;
};

struct ListingGroup {
  // Instances that take turns.
  std::size_t size = 0;
  // Instances of all groups.
  std::size_t all_instances = 0;
  // Bytes of the keys and values of a listing.
  std::size_t listing_bytes = 0;
  // Rate of the link of those that are admitted first, in Mbit/s; 0 if unknown.
  int link_mbps = 0;
};

class ListingTurns {
 public:
  ListingTurns(const ListingTurnsOptions& options, const ListingGroup& group);

  // How many ranks have had their turn, so long after the relays failed; none
  // before that.
  std::size_t Admitted(base::Duration waited) const;
  // How long after the relays failed an instance may list the store. `rank`
  // counts from 0.
  base::Duration TurnOf(std::size_t rank) const;
  // Whether the store's link serves the whole group within a step, so that no
  // instance waits.
  bool AtOnce() const noexcept { return max_admitted_ >= size_; }
  base::Duration step() const noexcept { return step_; }
  // Most instances that are admitted within one step.
  std::size_t max_admitted() const noexcept { return max_admitted_; }

 private:
  const std::size_t size_;
  const ListingTurnsOptions options_;
  base::Duration step_;
  std::size_t max_admitted_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_LISTING_TURNS_H_
