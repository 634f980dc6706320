#include "connection/peer_link.h"

#include <utility>

#include "connection/peer_link_transport.h"

namespace lynxglade::connection {

PeerLinks::PeerLinks(PeerLinkOptions options, PeerLinkHooks hooks)
    : transport_(
          options.tls.enabled()
              ? MakeTlsTransport(std::move(options), std::move(hooks))
              : MakePlainTransport(std::move(options), std::move(hooks))) {}

PeerLinks::~PeerLinks() {
  Stop();
}

bool PeerLinks::Start(PeerLinkError* last_error) {
  return transport_->Start(last_error);
}

void PeerLinks::Stop() {
  transport_->Stop();
}

PeerLinkId PeerLinks::Dial(const std::string& address, int port) {
  return transport_->Dial(address, port);
}

void PeerLinks::Send(PeerLinkId link,
                     std::string message,
                     PeerMessageClass cls) {
  transport_->Send(link, std::move(message), cls);
}

void PeerLinks::Close(PeerLinkId link, const std::string& reason) {
  transport_->Close(link, reason);
}

bool PeerLinks::ReloadTls() {
  return transport_->ReloadTls();
}

int PeerLinks::port() const noexcept {
  return transport_->port();
}

PeerLinkCounters PeerLinks::counters() const {
  return transport_->counters();
}

}  // namespace lynxglade::connection
