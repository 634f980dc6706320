// Interface of the plain and the TLS transport of peer links. Included by the
// peer_link_*.cc files only.
#ifndef LYNXGLADE_CONNECTION_PEER_LINK_TRANSPORT_H_
#define LYNXGLADE_CONNECTION_PEER_LINK_TRANSPORT_H_

#include <memory>
#include <string>

#include "connection/peer_link.h"

namespace lynxglade::connection {

class PeerLinks::Transport {
 public:
  Transport() = default;
  virtual ~Transport() = default;
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  virtual bool Start(PeerLinkError* last_error) = 0;
  virtual void Stop() = 0;
  virtual PeerLinkId Dial(const std::string& address, int port) = 0;
  virtual void Send(PeerLinkId link,
                    std::string message,
                    PeerMessageClass cls) = 0;
  virtual void Close(PeerLinkId link, const std::string& reason) = 0;
  virtual bool ReloadTls() = 0;
  virtual int port() const noexcept = 0;
  virtual PeerLinkCounters counters() const = 0;
};

std::unique_ptr<PeerLinks::Transport> MakePlainTransport(
    PeerLinkOptions options,
    PeerLinkHooks hooks);
std::unique_ptr<PeerLinks::Transport> MakeTlsTransport(PeerLinkOptions options,
                                                       PeerLinkHooks hooks);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PEER_LINK_TRANSPORT_H_
