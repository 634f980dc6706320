// A fleet of instances in one process that follow a stand-in for the platform's
// store through each other, as the entry daemon does. Measures what knowledge
// of the store costs each role, and how old it is.
//
// The parts that follow, relay and sample are those of the daemon; messages are
// encoded and decoded, but sent without a network. Every instance knows all
// others from the start.
#ifndef LYNXGLADE_BENCH_KNOWLEDGE_KNOWLEDGE_FLEET_H_
#define LYNXGLADE_BENCH_KNOWLEDGE_KNOWLEDGE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "process/peers/instance_presence.h"
#include "process/peers/watch_sharing.h"
#include "process/store/store_port.h"

namespace lynxglade::bench {

struct KnowledgeFleetSettings {
  int instances = 100;
  int zones = 5;
  int targets = 1000;
  // Bytes of a target's entry, and of the configuration.
  std::size_t entry_bytes = 330;
  std::size_t configuration_bytes = 8000;
  // WatchSharingOptions::max_staleness; longer where the machine may be too
  // busy for the instances' timers.
  base::Duration max_staleness =
      process::peers::WatchSharingOptions().max_staleness;
};

// What one instance received and sent. Bytes of the store's answers are those
// of JSON with values in base64, bytes between instances those of the messages
// and a fixed part for headers, of answers that carry items.
struct KnowledgeCost {
  std::uint64_t store_calls = 0;
  std::uint64_t store_bytes = 0;
  std::uint64_t relay_queries = 0;
  std::uint64_t relayed_in_bytes = 0;
  std::uint64_t relayed_out_bytes = 0;

  KnowledgeCost& operator+=(const KnowledgeCost& other);
};

// Costs of the instances of one role.
struct RoleCost {
  int instances = 0;
  KnowledgeCost total;
};

// How long after a change the median and the last instance knew it.
struct KnowledgeDelay {
  base::Duration median{};
  base::Duration last{};
};

// Not thread-safe.
class KnowledgeFleet {
 public:
  explicit KnowledgeFleet(KnowledgeFleetSettings settings);
  ~KnowledgeFleet();
  KnowledgeFleet(const KnowledgeFleet&) = delete;
  KnowledgeFleet& operator=(const KnowledgeFleet&) = delete;

  // Starts all instances and runs until each has a view; returns how long that
  // took.
  KnowledgeDelay Start();
  void RunFor(base::Duration time);
  // Writes a new configuration and runs until all instances have it.
  KnowledgeDelay ChangeConfiguration();
  // Removes a target that is in use and runs until no instance has it.
  KnowledgeDelay RemoveUsedTarget();
  // Replaces a fraction of the targets by new ones over `time`.
  void ReplaceTargets(double fraction, base::Duration time);

  // Costs since the last call, by role.
  std::map<process::peers::WatchSharing::Role, RoleCost> TakeCosts();
  // Most targets that an instance uses.
  std::size_t most_used_targets() const;

 private:
  class Store;
  struct Instance;

  std::string TargetKey(int n) const;
  std::string TargetValue(int n) const;
  process::peers::QueryRelay MakeQuery(Instance& asker);
  // Runs until `knows` holds at all instances.
  KnowledgeDelay RunUntilAllKnow(
      const std::function<bool(const Instance&)>& knows);

  const KnowledgeFleetSettings settings_;
  connection::event::asio::io_context loop_;
  std::unique_ptr<Store> store_;
  std::vector<process::peers::InstancePeer> peers_;
  std::map<base::InstanceId, Instance*> by_id_;
  std::vector<std::unique_ptr<Instance>> instances_;
  int next_target_ = 0;
  int oldest_target_ = 0;
  int configuration_ = 0;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_KNOWLEDGE_KNOWLEDGE_FLEET_H_
