// Connects other instances to targets that they do not reach themselves; see
// connection/event/tunnel.h.
//
// Only instances that are present are served, and only targets that this
// instance knows and reaches itself, so that a tunnel never leads through a
// third instance.
#ifndef LYNXGLADE_PROCESS_PEERS_TARGET_TUNNELS_H_
#define LYNXGLADE_PROCESS_PEERS_TARGET_TUNNELS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/caller_server.h"
#include "connection/event/tunnel.h"
#include "process/peers/instance_presence.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/target_paths.h"

namespace lynxglade::process::peers {

struct TargetTunnelsOptions {
  // Each needs two descriptors and two buffers.
  std::size_t max_tunnels = 256;
  // Less than an asking instance waits, so that it can ask another one.
  base::Duration connect_timeout = std::chrono::milliseconds(100);
};

struct TargetTunnelsHooks {
  std::function<const std::vector<InstancePeer>&()> peers;
  // Whether this instance accepts no further work now.
  std::function<bool()> busy;
};

// Not thread-safe: runs on the event loop.
class TargetTunnels {
 public:
  TargetTunnels(connection::event::asio::io_context& loop,
                const request::passthrough::EngineTable& engines,
                request::passthrough::TargetPaths& paths,
                TargetTunnelsOptions options,
                TargetTunnelsHooks hooks,
                base::Clock clock,
                base::Metrics& metrics);
  TargetTunnels(const TargetTunnels&) = delete;
  TargetTunnels& operator=(const TargetTunnels&) = delete;

  // Serves a request for a tunnel; returns when the tunnel has ended.
  connection::event::Awaitable<void> Serve(
      std::shared_ptr<connection::event::CallerRequest> request,
      connection::event::CallerReply& reply);

  std::size_t open() const noexcept { return open_; }

 private:
  // The target to connect to, or why there is none.
  connection::event::TunnelReply Admit(
      const connection::event::CallerRequest& request,
      request::passthrough::EngineHandle* target) const;
  connection::event::Awaitable<connection::event::TunnelReply> Connect(
      request::passthrough::EngineHandle target,
      std::shared_ptr<connection::event::Tcp::socket> socket);

  connection::event::asio::io_context& loop_;
  const request::passthrough::EngineTable& engines_;
  request::passthrough::TargetPaths& paths_;
  const TargetTunnelsOptions options_;
  const TargetTunnelsHooks hooks_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  std::size_t open_ = 0;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_TARGET_TUNNELS_H_
