#include "main/entry_peers.h"

#include <vector>

#include "main/tcp_endpoint.h"

namespace lynxglade {

namespace {

using connection::event::Tcp;
namespace asio = connection::event::asio;

asio::ip::udp::endpoint DatagramEndpointOf(const process::Endpoint& endpoint) {
  const Tcp::endpoint at = EndpointOf(endpoint);
  return {at.address(), at.port()};
}

process::peers::PrefillSharingOptions SharingOptions(
    const process::EntrySettings& settings) {
  return {.instance = settings.instance, .zone = settings.zone};
}

}  // namespace

EntryPeers::EntryPeers(EntryPeersDependencies deps,
                       const process::EntrySettings& settings,
                       const process::Endpoint& endpoint)
    : presence_(deps.presence),
      sharing_(SharingOptions(settings)),
      datagrams_(deps.loop,
                 deps.presence,
                 DatagramEndpointOf(endpoint),
                 deps.metrics),
      prefill_sharing_(deps.engines,
                       deps.presence,
                       deps.prefills,
                       datagrams_,
                       sharing_,
                       deps.clock),
      avoidance_sharing_(
          deps.engines,
          deps.avoidance,
          datagrams_,
          [this] { return SharingPeers(); },
          {},
          deps.clock),
      retry_loans_(deps.retry_budget,
                   datagrams_,
                   {.peers = [this] { return SharingPeers(); },
                    .instance_count = [this] { return presence_.Count(); },
                    .is_served = deps.is_served},
                   {},
                   deps.clock,
                   deps.random,
                   deps.metrics),
      limit_sharing_(deps.engines,
                     deps.limits,
                     deps.presence,
                     datagrams_,
                     {.group = sharing_},
                     deps.clock,
                     deps.random),
      quarantine_sharing_(deps.loop,
                          deps.quarantine,
                          deps.presence,
                          datagrams_,
                          deps.view_age,
                          {},
                          deps.clock,
                          deps.random,
                          deps.metrics),
      share_sharing_(
          deps.served_shares,
          datagrams_,
          [this] { return OtherInstances(); },
          {},
          deps.clock,
          deps.random),
      tunnels_(
          deps.loop,
          deps.engines,
          deps.paths,
          {},
          {.peers =
               [this]() -> const std::vector<process::peers::InstancePeer>& {
             return presence_.Peers();
           },
           .busy = deps.busy},
          deps.clock,
          deps.metrics),
      server_(deps.loop,
              EndpointOf(endpoint),
              deps.watches,
              &tunnels_,
              deps.clock,
              deps.metrics) {}

std::vector<process::peers::InstancePeer> EntryPeers::SharingPeers() const {
  return process::peers::SharingPeers(presence_.Peers(), sharing_);
}

std::vector<process::peers::InstancePeer> EntryPeers::OtherInstances() const {
  std::vector<process::peers::InstancePeer> peers = presence_.Peers();
  std::erase_if(peers, [this](const process::peers::InstancePeer& it) {
    return it.instance == sharing_.instance;
  });
  return peers;
}

bool EntryPeers::Start(std::string* reason) {
  if (!datagrams_.Start(reason)) {
    return false;
  }
  prefill_sharing_.Start();
  avoidance_sharing_.Start();
  retry_loans_.Start();
  limit_sharing_.Start();
  quarantine_sharing_.Start();
  share_sharing_.Start();
  return server_.Start(reason);
}

}  // namespace lynxglade
