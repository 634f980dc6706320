// Connections to a target through another process: an HTTP/1.1 upgrade, after
// which bytes pass unchanged in both directions.
//
// Each side sees how the other one ended: a close is passed on after the last
// byte, and a reset as a reset, so that the end of an answer that is delimited
// by its connection stays distinguishable from a broken one. The end of the
// process in between is a reset, too.
#ifndef LYNXGLADE_CONNECTION_EVENT_TUNNEL_H_
#define LYNXGLADE_CONNECTION_EVENT_TUNNEL_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// What the process asked for a tunnel replies.
enum class TunnelReply {
  kOpened,
  // Nothing listens at the target's address.
  kTargetRefused,
  // The target did not answer.
  kTargetSilent,
  // It does not reach the target itself at present, others do.
  kNoOwnWay,
  // Lately neither it nor those that it asked reached the target.
  kTargetUnreached,
  // It accepts no further tunnels now: it is stopping, or at its limits.
  kBusy,
  // It does not know the target, or the process that asks.
  kForbidden,
  // The process itself gave no valid reply in time.
  kNoReply,
};
std::string_view ToString(TunnelReply reply) noexcept;
// The status of the HTTP answer with this meaning; kNoReply has none.
unsigned ToStatus(TunnelReply reply) noexcept;

// The protocol of the upgrade.
inline constexpr std::string_view kTunnelProtocol = "lynxglade-tunnel";
// The request for a tunnel to the target with this id.
OutgoingRequest MakeTunnelRequest(std::string_view target_id);
bool IsTunnelRequest(const RequestHead& head);
// The id in such a request; empty if it has none.
std::string TunnelTarget(const RequestHead& head);

// Connects `socket` to `process` and asks it for a tunnel to the target. After
// kOpened the socket is used as if it were connected to the target; after any
// other reply it is closed. Closing it meanwhile ends the attempt.
Awaitable<TunnelReply> OpenTunnel(asio::io_context& loop,
                                  std::shared_ptr<Tcp::socket> socket,
                                  Tcp::endpoint process,
                                  std::string target_id,
                                  base::Duration timeout);

struct TunnelOptions {
  // If the target has not acknowledged what was sent within this time, both
  // connections are reset. Less than TCP_USER_TIMEOUT, since a connection that
  // the kernel has ended can no longer be reset.
  base::Duration acknowledge_timeout = std::chrono::milliseconds(900);
};

// Passes bytes between `near`, which asked for the tunnel, and `far`, the
// target, until both are closed. Both sockets must outlive the call.
Awaitable<void> RunTunnel(asio::io_context& loop,
                          Tcp::socket& near,
                          Tcp::socket& far,
                          TunnelOptions options = {});

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_TUNNEL_H_
