#include "process/peers/target_tunnels.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "connection/event/connect.h"
#include "connection/event/socket_probe.h"
#include "request/passthrough/engine_address.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::ConnectEnd;
using connection::event::Tcp;
using connection::event::TuneSocket;
using connection::event::TunnelReply;
using connection::event::TunnelTarget;
using request::passthrough::EngineHandle;
using request::passthrough::TargetPath;
namespace asio = connection::event::asio;

// TCP_USER_TIMEOUT of both connections.
constexpr base::Duration kUserTimeout = std::chrono::seconds(2);

}  // namespace

TargetTunnels::TargetTunnels(asio::io_context& loop,
                             const request::passthrough::EngineTable& engines,
                             request::passthrough::TargetPaths& paths,
                             TargetTunnelsOptions options,
                             TargetTunnelsHooks hooks,
                             base::Clock clock,
                             base::Metrics& metrics)
    : loop_(loop),
      engines_(engines),
      paths_(paths),
      options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

Awaitable<void> TargetTunnels::Serve(std::shared_ptr<CallerRequest> request,
                                     CallerReply& reply) {
  EngineHandle target;
  const auto far = std::make_shared<Tcp::socket>(loop_);
  TunnelReply answer = Admit(*request, &target);
  ++open_;
  if (answer == TunnelReply::kOpened) {
    answer = co_await Connect(target, far);
  }
  metrics_
      .GetCounter("lynxglade_tunnels_total",
                  {{"reply", std::string(ToString(answer))}})
      .Add();
  if (answer != TunnelReply::kOpened) {
    base::Log(base::LogLevel::kInfo, "tunnel_refused",
              {{"asker", request->caller},
               {"target", TunnelTarget(request->head)},
               {"reply", ToString(answer)},
               {"open", static_cast<std::int64_t>(open_ - 1)}});
    connection::event::AnswerHead head;
    head.status = ToStatus(answer);
    co_await reply.SendWhole(std::move(head), {});
    --open_;
    co_return;
  }
  Tcp::socket* near =
      co_await reply.SwitchProtocols(connection::event::kTunnelProtocol);
  if (near) {
    TuneSocket(*near, kUserTimeout);
    TuneSocket(*far, kUserTimeout);
    co_await connection::event::RunTunnel(loop_, *near, *far);
  }
  --open_;
}

TunnelReply TargetTunnels::Admit(const CallerRequest& request,
                                 EngineHandle* target) const {
  const bool present =
      std::ranges::any_of(hooks_.peers(), [&](const InstancePeer& it) {
        return it.endpoint.address().to_string() == request.caller;
      });
  *target = engines_.Find(base::TargetId(TunnelTarget(request.head)));
  if (!present || !*target) {
    return TunnelReply::kForbidden;
  }
  if (open_ >= options_.max_tunnels || hooks_.busy()) {
    return TunnelReply::kBusy;
  }
  switch (paths_.PathTo((*target)->entry, clock_())) {
    case TargetPath::kOwn:
      return TunnelReply::kOpened;
    case TargetPath::kThroughOthers:
      return TunnelReply::kNoOwnWay;
    case TargetPath::kNone:
      break;
  }
  return TunnelReply::kTargetUnreached;
}

Awaitable<TunnelReply> TargetTunnels::Connect(
    EngineHandle target,
    std::shared_ptr<Tcp::socket> socket) {
  const auto endpoint = request::passthrough::EndpointOf(*target);
  ConnectEnd end = ConnectEnd::kNoAnswer;
  if (endpoint) {
    end = co_await connection::event::Connect(
        loop_, std::move(socket), *endpoint, options_.connect_timeout);
  }
  switch (end) {
    case ConnectEnd::kConnected:
      paths_.OnOwnConnection(target->entry);
      co_return TunnelReply::kOpened;
    case ConnectEnd::kRefused:
      co_return TunnelReply::kTargetRefused;
    case ConnectEnd::kNoAnswer:
      break;
  }
  co_return TunnelReply::kTargetSilent;
}

}  // namespace lynxglade::process::peers
