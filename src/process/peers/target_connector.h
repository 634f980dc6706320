// Connects to targets: directly or, where this instance's own way is cut,
// through an instance that reaches them.
//
// A direct connection that is not made at once races with one through another
// instance, so that the request that finds a cut out loses little time; what is
// learnt is kept by TargetPaths. While a path counts as cut, connections go
// through others from the start, and probes of this instance's own find out
// when it is whole again. A target that neither reaches fails at once.
#ifndef LYNXGLADE_PROCESS_PEERS_TARGET_CONNECTOR_H_
#define LYNXGLADE_PROCESS_PEERS_TARGET_CONNECTOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/event/channel_pool.h"
#include "process/peers/instance_presence.h"
#include "process/peers/tunnel_choice.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/target_paths.h"

namespace lynxglade::process::peers {

struct TargetConnectorOptions {
  TunnelChoiceOptions choice;
  // Bounds a connection, whichever way it is made.
  base::Duration connect_timeout = std::chrono::milliseconds(300);
  // A direct connection that takes longer races with one through another
  // instance. Several round trips between zones.
  base::Duration head_start = std::chrono::milliseconds(60);
  // Instances that are asked for one connection.
  std::size_t max_asked = 5;
  // Of these, instances that tried to reach the target in vain, after which it
  // counts as not reached.
  std::size_t min_unreached = 2;
  // Bounds a direct connection that only finds out whether the way is cut: more
  // than several round trips between zones.
  base::Duration check_timeout = std::chrono::milliseconds(150);
  // Targets to which it is tried, one after the other, whether this instance
  // reaches its neighbours.
  std::size_t max_neighbours = 3;
  // How often it is checked which probes are due.
  base::Duration probe_period = std::chrono::milliseconds(100);
  // Probes at a time.
  std::size_t max_probes = 8;
};

struct TargetConnectorHooks {
  std::function<const std::vector<InstancePeer>&()> peers;
  // Others reach the target that this instance no longer reaches.
  std::function<void(request::passthrough::Engine&)> on_cut;
};

// Not thread-safe: runs on the event loop.
class TargetConnector {
 public:
  TargetConnector(connection::event::asio::io_context& loop,
                  const request::passthrough::EngineTable& engines,
                  request::passthrough::TargetPaths& paths,
                  TargetConnectorOptions options,
                  TargetConnectorHooks hooks,
                  base::Clock clock,
                  base::RandomSource random,
                  base::Metrics& metrics);
  TargetConnector(const TargetConnector&) = delete;
  TargetConnector& operator=(const TargetConnector&) = delete;

  // For the pool of connections to targets.
  connection::event::ChannelPoolHooks PoolHooks();
  // Whether the target accepts connections: of this instance or, where its own
  // way may be cut, of another. A refusal is the word of as many instances as
  // can be asked, since those that are cut off as well may not know it yet. If
  // none says anything, as they may be lost, this instance's own word counts
  // where it reaches the target's neighbours.
  connection::event::Awaitable<connection::event::ConnectEnd> Reach(
      request::passthrough::EngineHandle target);

 private:
  using ConnectEnd = connection::event::ConnectEnd;
  using EngineHandle = request::passthrough::EngineHandle;
  template <typename T>
  using Awaitable = connection::event::Awaitable<T>;
  using Socket = connection::event::Tcp::socket;

  // What the instances that were asked say of a target.
  // The first that holds counts.
  enum class OthersEnd {
    kReached,
    // It refuses connections, or does not answer.
    kRefused,
    kSilent,
    // There is none to ask, or none could say.
    kUnknown,
  };
  // A target as connected by others.
  struct ThroughOther {
    OthersEnd end = OthersEnd::kUnknown;
    std::shared_ptr<Socket> socket;
    base::InstanceId via;
  };
  // A direct connection and one through another instance, at the same time.
  struct Race;

  Awaitable<ConnectEnd> Open(
      std::shared_ptr<connection::event::Channel> channel);
  Awaitable<ConnectEnd> OpenByRace(
      std::shared_ptr<connection::event::Channel> channel,
      EngineHandle target);
  Awaitable<ConnectEnd> OpenThroughOther(
      std::shared_ptr<connection::event::Channel> channel,
      EngineHandle target);
  // A direct connection.
  Awaitable<ConnectEnd> ConnectTo(EngineHandle target,
                                  std::shared_ptr<Socket> socket,
                                  base::Duration timeout);
  Awaitable<void> ConnectDirectly(std::shared_ptr<Race> race);
  Awaitable<void> ConnectThroughOther(std::shared_ptr<Race> race);
  // Once both are known.
  void Conclude(const Race& race);
  // Asks one after the other, until one reaches the target or `min_unreached`
  // tried in vain.
  Awaitable<ThroughOther> AskOthers(EngineHandle target,
                                    base::Duration timeout,
                                    std::size_t min_unreached);
  // Whether what this instance finds at the target is not due to a cut of its
  // own way: it reaches others in the target's group or, if there are none,
  // others of its zone and of its service.
  Awaitable<bool> ReachesNeighbours(EngineHandle target);
  // Whether one of a few of these targets accepts a direct connection; true if
  // there are none.
  Awaitable<bool> ReachesOneOf(std::vector<EngineHandle> targets);
  // Finds out anew how the target is reached, unless that is being done.
  void Check(const EngineHandle& target);
  Awaitable<void> RunCheck(EngineHandle target);
  void StartProbes();
  Awaitable<void> RunProbes();

  bool IsTrusted(const connection::event::Channel& channel) const;
  void OnUnacknowledged(const connection::event::Channel& channel);
  EngineHandle TargetAt(const connection::event::Tcp::endpoint& endpoint) const;
  // Unless they are the same.
  static void LogPath(const request::passthrough::Engine& target,
                      request::passthrough::TargetPath before,
                      request::passthrough::TargetPath after,
                      base::Duration took);
  void RecordFailure(const EngineHandle& target,
                     OthersEnd others,
                     base::Time began);

  connection::event::asio::io_context& loop_;
  const request::passthrough::EngineTable& engines_;
  request::passthrough::TargetPaths& paths_;
  const TargetConnectorOptions options_;
  const TargetConnectorHooks hooks_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  TunnelChoice choice_;
  std::set<base::TargetId> checking_;
  bool probing_ = false;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_TARGET_CONNECTOR_H_
