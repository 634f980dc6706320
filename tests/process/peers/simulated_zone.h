// A zone of instances that follow the store through each other, in simulated
// time, with faults of the store and of single instances.
//
// The store may reject single instances, answer nothing to them, and forget its
// history. Instances may be frozen, or lost, or out of each other's reach.
// Listings and answers take the time that the links need for their bytes.
#ifndef LYNXGLADE_TESTS_PROCESS_PEERS_SIMULATED_ZONE_H_
#define LYNXGLADE_TESTS_PROCESS_PEERS_SIMULATED_ZONE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/peers/watch_sharing.h"
#include "process/simulated_time.h"
#include "process/store/prefix_follower.h"

namespace lynxglade::process::peers {

struct SimulatedZoneSettings {
  int instances = 66;
  // Instances of other zones; they are known, but not simulated.
  int others = 0;
  int targets = 3000;
  std::size_t entry_bytes = 150;
  // Of the first ones; the rest has `slow_link_mbps`.
  int fast_instances = 0;
  int fast_link_mbps = 200;
  int slow_link_mbps = 0;
  ListingTurnsOptions turns;
};

// What the store does for one instance.
enum class StoreAccess { kServed, kRejected, kSilent };

class SimulatedZone {
 public:
  explicit SimulatedZone(SimulatedZoneSettings settings);
  ~SimulatedZone();
  SimulatedZone(const SimulatedZone&) = delete;
  SimulatedZone& operator=(const SimulatedZone&) = delete;

  void RunFor(base::Duration time);
  // Starts a further instance.
  int AddInstance();

  // --- Faults. Instances are named by their index.
  void SetAccess(int instance, StoreAccess access);
  void SetFrozen(int instance, bool frozen);
  // The process ends, and its key stays in the store.
  void Kill(int instance);
  void Cut(int instance, int relay, bool cut);
  void DropHistory();

  // --- Changes.
  // A new configuration; returns its version.
  int ChangeConfiguration();
  void RemoveTarget(const std::string& key);
  void WriteTarget(const std::string& key);

  // --- What instances know.
  // Version of the configuration; 0 before the first listing.
  int VersionAt(int instance) const;
  bool HasView(int instance) const;
  // A target that all instances use.
  std::string UsedTarget() const;
  bool Uses(int instance, const std::string& target) const;
  // Instances that the store serves, that run and that were so for `time`.
  std::vector<int> InTouch(base::Duration time) const;
  // The relays, the primary first, and then the others in the order in which
  // they would take their place.
  std::vector<int> Ranked() const;
  WatchSharing::Role RoleOf(int instance) const;
  int size() const { return static_cast<int>(instances_.size()); }

  // --- What the store was asked for.
  // Most complete listings that it was sending at once.
  int most_listings() const { return most_listings_; }
  int listings() const { return total_listings_; }
  int calls() const { return calls_; }
  std::size_t listed_bytes() const { return listed_bytes_; }
  void ForgetCalls();

 private:
  struct Instance;
  class Link;

  std::string TargetKey(int n) const;
  void Write(const std::string& key, const std::string& value);
  void Wake();
  QueryRelay MakeQuery(int asker);
  int IndexOf(const base::InstanceId& instance) const;

  const SimulatedZoneSettings settings_;
  connection::event::asio::io_context loop_;
  std::vector<InstancePeer> peers_;
  std::map<std::string, store::StoreItem> items_;
  std::vector<store::StoreItem> history_;
  std::int64_t revision_ = 1;
  base::Revision dropped_;
  int version_ = 0;
  int listings_in_flight_ = 0;
  int most_listings_ = 0;
  int total_listings_ = 0;
  int calls_ = 0;
  std::size_t listed_bytes_ = 0;
  std::set<connection::event::asio::steady_timer*> waiting_;
  std::set<std::pair<int, int>> cuts_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_TESTS_PROCESS_PEERS_SIMULATED_ZONE_H_
