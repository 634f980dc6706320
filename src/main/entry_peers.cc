#include "main/entry_peers.h"

#include <vector>

namespace lynxglade {

namespace {

using connection::event::Tcp;
namespace asio = connection::event::asio;

Tcp::endpoint EndpointOf(const process::Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address),
          static_cast<std::uint16_t>(endpoint.port)};
}

asio::ip::udp::endpoint DatagramEndpointOf(const process::Endpoint& endpoint) {
  const Tcp::endpoint at = EndpointOf(endpoint);
  return {at.address(), at.port()};
}

process::peers::PrefillSharingOptions SharingOptions(
    const process::EntrySettings& settings) {
  return {.instance = settings.instance, .zone = settings.zone};
}

// The peers that load is shared with.
std::function<std::vector<process::peers::InstancePeer>()> PeersOf(
    const process::peers::InstancePresence& presence,
    const process::EntrySettings& settings) {
  return [&presence, sharing = SharingOptions(settings)] {
    return process::peers::SharingPeers(presence.Peers(), sharing);
  };
}

}  // namespace

EntryPeers::EntryPeers(EntryPeersDependencies deps,
                       const process::EntrySettings& settings,
                       const process::Endpoint& endpoint)
    : datagrams_(deps.loop,
                 deps.presence,
                 DatagramEndpointOf(endpoint),
                 deps.metrics),
      prefill_sharing_(deps.engines,
                       deps.presence,
                       deps.prefills,
                       datagrams_,
                       SharingOptions(settings),
                       deps.clock),
      avoidance_sharing_(deps.engines,
                         deps.avoidance,
                         datagrams_,
                         PeersOf(deps.presence, settings),
                         {},
                         deps.clock),
      retry_loans_(
          deps.retry_budget,
          datagrams_,
          {.peers = PeersOf(deps.presence, settings),
           .instance_count = [&presence =
                                  deps.presence] { return presence.Count(); },
           .is_served = deps.is_served},
          {},
          deps.clock,
          deps.random,
          deps.metrics),
      change_relay_(deps.loop,
                    EndpointOf(endpoint),
                    deps.watches,
                    deps.clock,
                    deps.metrics) {}

bool EntryPeers::Start(std::string* reason) {
  if (!datagrams_.Start(reason)) {
    return false;
  }
  prefill_sharing_.Start();
  avoidance_sharing_.Start();
  retry_loans_.Start();
  return change_relay_.Start(reason);
}

}  // namespace lynxglade
