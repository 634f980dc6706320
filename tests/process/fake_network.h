// Several Gossip objects connected by simulated links that lose, duplicate,
// delay and reorder messages and can be blocked in one direction, on a
// simulated clock.
#ifndef LYNXGLADE_TESTS_PROCESS_FAKE_NETWORK_H_
#define LYNXGLADE_TESTS_PROCESS_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/gossip.h"

namespace lynxglade::tests {

struct NetworkFaults {
  // Probability that a droppable message is lost, and that any message is
  // duplicated.
  double loss = 0;
  double duplication = 0;
  // Upper bound of the random delay of each message; messages may overtake
  // each other.
  base::Duration max_delay = std::chrono::milliseconds(5);
};

class FakeNetwork {
 public:
  explicit FakeNetwork(std::uint64_t seed);
  FakeNetwork(const FakeNetwork&) = delete;
  FakeNetwork& operator=(const FakeNetwork&) = delete;

  // Starts an instance at a new address, or at that of `old`, and adds it to
  // the instance list. Returns its index.
  std::size_t Add(const std::string& id, const std::string& zone);
  std::size_t RestartAs(std::size_t old, const std::string& new_id);
  void Kill(std::size_t node);
  void Pause(std::size_t node);
  void Resume(std::size_t node);
  // Blocks or restores messages from `from` to `to`.
  void BlockTraffic(std::size_t from, std::size_t to);
  void RestoreTraffic(std::size_t from, std::size_t to);
  void SetFaults(const NetworkFaults& faults) { faults_ = faults; }

  void Run(base::Duration duration);

  process::Gossip& node(std::size_t i) { return *nodes_[i]->gossip; }
  std::size_t count() const { return nodes_.size(); }
  base::Time now() const { return now_; }
  process::MemberState StateSeenBy(std::size_t node, const std::string& id);
  // All facts of the compared kinds as text, equal when two nodes agree.
  std::string Contents(std::size_t node) const;
  // Number of facts that a node accepted although it had held a newer version.
  int version_regressions() const { return version_regressions_; }
  // All suspicions accepted by any node: the suspected id and the sequence.
  const std::set<std::pair<std::string, std::uint64_t>>& suspicions() const {
    return suspicions_;
  }
  // Times of all dial attempts.
  const std::vector<base::Time>& dials() const { return dials_; }
  std::uint64_t BytesSent(std::size_t node) const;
  std::uint64_t MessagesSent(std::size_t node) const;

 private:
  struct Node {
    std::string id;
    std::string zone;
    int port = 0;
    bool alive = true;
    bool paused = false;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_sent = 0;
    base::Metrics metrics;
    std::unique_ptr<process::Gossip> gossip;
    std::map<process::ViewName, process::ViewVersion> newest;
    // Whether the instance list has a row for it.
    bool listed = true;
  };
  struct End {
    std::size_t node = 0;
    process::LinkId peer_end = 0;
  };
  struct Event {
    std::size_t node = 0;
    std::function<void()> run;
  };

  void Start(Node* node, std::size_t index);
  process::LinkId Dial(std::size_t from, int port);
  void Connect(std::size_t from, process::LinkId link, int port);
  void Send(std::size_t from,
            process::LinkId link,
            std::string bytes,
            bool droppable);
  void Deliver(process::LinkId to, const std::string& bytes);
  void Close(process::LinkId link);
  void Break(process::LinkId end);
  bool Reaches(std::size_t from, std::size_t to) const;
  process::HelloMessage HelloOf(const Node& node) const;
  // Runs `run` at `node` after a delay, or later if the node is paused then.
  void Schedule(std::size_t node,
                base::Duration delay,
                std::function<void()> run);
  base::Duration RandomDelay();
  bool Chance(double p);
  std::vector<process::InstanceRow> Rows() const;

  base::Time now_{std::chrono::hours(1)};
  base::RandomSource random_;
  NetworkFaults faults_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_;
  std::map<process::LinkId, End> ends_;
  std::multimap<base::Time, Event> events_;
  std::vector<base::Time> dials_;
  std::set<std::pair<std::string, std::uint64_t>> suspicions_;
  base::Time next_rows_{};
  process::LinkId next_link_ = 1;
  int next_port_ = 1000;
  int version_regressions_ = 0;
};

}  // namespace lynxglade::tests

#endif  // LYNXGLADE_TESTS_PROCESS_FAKE_NETWORK_H_
