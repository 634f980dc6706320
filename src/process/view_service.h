// Shares facts among the entry instances over peer links.
//
// ViewService owns the view store, the membership and the links, all driven by
// one actor. Published facts reach all connected instances over a few hops;
// facts from peers are passed to the subscribers. A fact is never replaced by
// an older version. The protocol is described in
// docs/design/membership-and-views.md.
#ifndef LYNXGLADE_PROCESS_VIEW_SERVICE_H_
#define LYNXGLADE_PROCESS_VIEW_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/instance_row.h"
#include "process/membership.h"
#include "process/view_item.h"

namespace caf {
// The library's name. NOLINTNEXTLINE(readability-identifier-naming)
class actor_system;
}  // namespace caf

namespace lynxglade::process {

enum class ViewServiceError {
  kNone,
  // The listening socket could not be opened.
  kListen,
  // The certificate, key or authority file is missing or unusable.
  kCertificate,
};
std::string_view ToString(ViewServiceError error) noexcept;

// Files for mutual TLS between instances; all empty means plain TCP. The
// certificate names zone and role in a URI subject alternative name,
// "urn:lynxglade:<zone>:<role>"; peers accept only the role "instance".
struct PeerTlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;

  bool empty() const noexcept { return certificate.empty(); }
};

struct ViewServiceOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  // IP address to listen on and to advertise to peers.
  std::string address = "127.0.0.1";
  // 0 selects any free port; see port().
  int port = 0;
  PeerTlsFiles tls;
};

struct ViewServiceHooks {
  base::Clock clock;
  // Called on the actor's thread only.
  base::RandomSource random;
  // Returns the instance list as last fetched. Called about once a second on
  // the actor's thread, so it must not block.
  std::function<std::vector<InstanceRow>()> instance_rows;
};

// Thread-safe. The destructor closes all links without a leaving notice; call
// Leave() first for a planned shutdown.
class ViewService {
 public:
  using Subscriber = std::function<void(const ViewItem&)>;

  // `system` and `metrics` must outlive this object.
  ViewService(caf::actor_system& system,
              ViewServiceOptions options,
              ViewServiceHooks hooks,
              base::Metrics& metrics);
  ~ViewService();
  ViewService(const ViewService&) = delete;
  ViewService& operator=(const ViewService&) = delete;

  // Starts listening and connecting to peers. Call once.
  bool Start(ViewServiceError* error);

  // The calls below require a successful Start().

  // Passes a fact to the local store, the subscribers and the peers without
  // blocking. An empty source is set to this instance, a zero `as_of` to the
  // current time. The fact is dropped and counted if the store holds the same
  // or a newer version. See GossipOptions::batch_interval for when it is sent.
  void Publish(ViewItem item);

  // Calls `subscriber` for each newer fact of the kind, including those
  // published by this instance, starting with the facts already held. Called on
  // the actor's thread, so it must not block.
  void Subscribe(ViewKind kind, Subscriber subscriber);

  // Notifies the linked peers that this instance is leaving. Returns when the
  // notice is in the links' queues. Links stay up until Stop().
  void Leave();

  // Closes the links and stops the actor: after it returns no subscriber is
  // called and Publish() has no effect. Further calls have no effect.
  void Stop();

  // Reloads the TLS files for new links; existing links keep their keys. On
  // failure the previous files stay in use.
  bool ReloadCertificates(ViewServiceError* error);

  // All held facts of a kind.
  std::vector<ViewItem> Snapshot(ViewKind kind) const;
  // All known instances, including this one.
  std::vector<Member> Members() const;
  // {"instance","zone","instances":[{"id","zone","address","peer_port","state",
  // "linked"}],"links":{"up",...},"views":{kind:{"count","newest_age_ms",
  // "oldest_age_ms"}}} with null ages for a kind without facts.
  std::string InstancesJson() const;
  // The listening port; 0 before Start().
  int port() const noexcept;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_VIEW_SERVICE_H_
