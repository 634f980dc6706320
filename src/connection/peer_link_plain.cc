#include <memory>
#include <utility>

#include <websocketpp/transport/asio/security/none.hpp>

#include "connection/peer_link_endpoint.h"

namespace lynxglade::connection {

std::unique_ptr<PeerLinks::Transport> MakePlainTransport(
    PeerLinkOptions options,
    PeerLinkHooks hooks) {
  using Config =
      PeerWebSocketConfig<websocketpp::transport::asio::basic_socket::endpoint>;
  using Policy = PeerSocketPolicy<Config>;
  Policy policy;
  policy.scheme = "ws";
  policy.reload = [] { return true; };
  policy.install = [](Policy::Server&, Policy::Client&) {};
  policy.identify = [](const Policy::ConnectionPtr&,
                       std::optional<PeerIdentity>*) { return true; };
  return std::make_unique<PeerEndpoint<Config>>(
      std::move(options), std::move(hooks), std::move(policy));
}

}  // namespace lynxglade::connection
