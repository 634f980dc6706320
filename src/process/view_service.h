// What this instance and its peers know, kept up to date over peer links.
//
// ViewService owns the view store, the membership and the links, all driven by
// one actor. Facts published here reach every instance that can be heard,
// over a few hops; facts heard from peers reach the subscribers. A fact never
// goes back to an older version. The rules are in
// docs/notes/membership-and-views.md.
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
  // Certificate, key or authority file missing or unreadable.
  kCertificate,
};
std::string_view ToString(ViewServiceError error) noexcept;

// Files for mutual TLS between instances; all empty means plain TCP. The
// certificate names zone and role in a URI subject alternative name,
// "urn:lynxglade:<zone>:<role>", and peers take only the role "instance".
struct PeerTlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;

  bool empty() const noexcept { return certificate.empty(); }
};

struct ViewServiceOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  // IP number to listen on and to be reached at.
  std::string address = "127.0.0.1";
  // 0: any free port, see port().
  int port = 0;
  PeerTlsFiles tls;
};

struct ViewServiceHooks {
  base::Clock clock;
  // Called on the actor's thread only.
  base::RandomSource random;
  // The entry instances as last fetched; called about once a second on the
  // actor's thread, so it must not block.
  std::function<std::vector<InstanceRow>()> instance_rows;
};

// Thread-safe. Destruction closes all links without a leaving notice; call
// Leave() before it in a planned stop.
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

  // Listens and starts to look for peers. Call once.
  bool Start(ViewServiceError* last_error);

  // The calls below need a Start() that succeeded.

  // Hands a fact to the local store, the subscribers and the peers. Returns
  // at once. An empty source becomes this instance; an `as_of` of zero
  // becomes now. Dropped (and counted) when the store holds a version at least
  // as new. Configuration facts leave at once, others in the next batch.
  void Publish(ViewItem item);

  // Calls `subscriber` for each newer fact of the kind, own ones included, on
  // the actor's thread; it must not block. Facts already held are handed over
  // first.
  void Subscribe(ViewKind kind, Subscriber subscriber);

  // Tells the linked peers that this instance leaves. Returns when the notice
  // is in the links' queues. Links stay up until destruction.
  void Leave();

  // Closes the links and ends the actor: no subscriber is called after it
  // returns, and Publish() does nothing. A second call does nothing.
  void Stop();

  // Reads the TLS files again; links that are up keep their keys, new ones
  // use the new files. On failure the old ones stay in use.
  bool ReloadCertificates(ViewServiceError* last_error);

  // All facts held of a kind.
  std::vector<ViewItem> Snapshot(ViewKind kind) const;
  // Every known instance, this one included.
  std::vector<Member> Members() const;
  // {"instance","zone","instances":[{"id","zone","address","peer_port","state",
  // "linked"}],"links":{"up",...},"views":{kind:{"count","newest_age_ms",
  // "oldest_age_ms"}}} with null ages for a kind of which nothing is held.
  std::string InstancesJson() const;
  // The port listened on; 0 before Start().
  int port() const noexcept;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_VIEW_SERVICE_H_
