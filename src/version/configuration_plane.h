// Combines the components that track, distribute and change the configuration
// of one instance.
#ifndef LYNXGLADE_VERSION_CONFIGURATION_PLANE_H_
#define LYNXGLADE_VERSION_CONFIGURATION_PLANE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/api_call.h"
#include "connection/key_value.h"
#include "process/view_item.h"
#include "version/config_store.h"
#include "version/config_tracker.h"
#include "version/config_watcher.h"
#include "version/operator_access.h"
#include "version/plan.h"

namespace lynxglade::version {

struct ConfigurationPlaneOptions {
  base::InstanceId instance;
  // May be empty; the first fleet operator then has to come from existing data
  // in the key-value service.
  std::string bootstrap_key;
  StoreLimits store;
  ConfigWatcherOptions watcher;
  // Time behind after which the service is read instead of waiting for peers.
  base::Duration peer_timeout = std::chrono::milliseconds(300);
};

// All must be thread-safe; only fetch_from_peer may block.
struct ConfigurationPlaneHooks {
  base::Clock clock;
  base::RandomSource random;
  std::function<std::int64_t()> wall_millis;
  // Called when a configuration came into force, from several threads and not
  // necessarily in order; read Current() for the newest.
  std::function<void()> on_change;
  // ViewService::Publish, and ViewService::Snapshot of kConfigInForce.
  std::function<void(process::ViewItem)> publish;
  std::function<std::vector<process::ViewItem>()> revision_facts;
  std::function<std::size_t()> member_count;
  // Whether this instance should watch the key-value service.
  std::function<bool()> should_watch;
  // Fleet state for the share arithmetic of plans.
  std::function<FleetFacts()> fleet;
  // See ConfigWatcherHooks; may be empty.
  std::function<std::optional<std::string>()> fetch_from_peer;
};

// Thread-safe.
class ConfigurationPlane {
 public:
  // `service` and `metrics` must outlive this object.
  ConfigurationPlane(const connection::KeyValue& service,
                     ConfigurationPlaneOptions options,
                     ConfigurationPlaneHooks hooks,
                     base::Metrics& metrics);
  // Stops the threads; may block for the duration of one service call.
  ~ConfigurationPlane();
  ConfigurationPlane(const ConfigurationPlane&) = delete;
  ConfigurationPlane& operator=(const ConfigurationPlane&) = delete;

  // Starts reading and watching. Call once, when the hooks are ready.
  void Start();
  // Handles facts of the kinds kConfigHead and kConfigDelta; does not block.
  void HandleFact(const process::ViewItem& item);
  // Call about once a second.
  void Tick();

  // Handles paths under /v1/admin/plans, /config, /contracts and /audit.
  // Authenticates the operator; changes require at least the role kContract.
  connection::ApiAnswer Handle(const connection::ApiCall& call) const;

  std::shared_ptr<const Configuration> Current() const;
  // See ConfigTracker::ready().
  bool ready() const;
  const OperatorAccess& access() const noexcept;
  // The current configuration encoded for a peer.
  std::string EncodedSnapshot() const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIGURATION_PLANE_H_
