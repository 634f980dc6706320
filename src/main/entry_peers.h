// What an entry instance exchanges with the others: work at engines, targets
// to avoid and their limits, contents that crash targets, loans of retry
// budget, shares of requests served, changes of the store and connections to
// targets.
#ifndef LYNXGLADE_MAIN_ENTRY_PEERS_H_
#define LYNXGLADE_MAIN_ENTRY_PEERS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/entry_settings.h"
#include "process/peers/avoidance_sharing.h"
#include "process/peers/instance_presence.h"
#include "process/peers/limit_sharing.h"
#include "process/peers/peer_datagrams.h"
#include "process/peers/peer_server.h"
#include "process/peers/prefill_sharing.h"
#include "process/peers/quarantine_sharing.h"
#include "process/peers/retry_loans.h"
#include "process/peers/share_sharing.h"
#include "process/peers/target_tunnels.h"
#include "process/peers/watch_sharing.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_avoidance.h"
#include "request/passthrough/peer_prefills.h"
#include "request/passthrough/send_limits.h"
#include "request/passthrough/served_shares.h"
#include "request/passthrough/shared_retry_budget.h"

namespace lynxglade {

// Parts of the process that the exchange reads and fills; all must outlive it.
struct EntryPeersDependencies {
  connection::event::asio::io_context& loop;
  const process::peers::InstancePresence& presence;
  process::peers::WatchSharing& watches;
  const request::passthrough::EngineTable& engines;
  request::passthrough::TargetPaths& paths;
  request::passthrough::PeerPrefills& prefills;
  request::passthrough::PeerAvoidance& avoidance;
  request::passthrough::SharedRetryBudget& retry_budget;
  request::passthrough::SendLimits& limits;
  request::passthrough::ServedShares& served_shares;
  request::Quarantine& quarantine;
  // Age of the view of the store.
  std::function<base::Duration()> view_age;
  // Whether the configuration names the service.
  std::function<bool(const base::ServiceName&)> is_served;
  // Whether this instance accepts no further work of others now.
  std::function<bool()> busy;
  base::Clock clock;
  base::RandomSource random;
  base::Metrics& metrics;
};

// Not thread-safe: runs on the event loop.
class EntryPeers {
 public:
  EntryPeers(EntryPeersDependencies deps,
             const process::EntrySettings& settings,
             const process::Endpoint& endpoint);
  EntryPeers(const EntryPeers&) = delete;
  EntryPeers& operator=(const EntryPeers&) = delete;

  // Binds the address. On failure returns false, and `*reason` says why.
  bool Start(std::string* reason);

  process::peers::PeerDatagrams& datagrams() noexcept { return datagrams_; }
  process::peers::RetryLoans& retry_loans() noexcept { return retry_loans_; }
  process::peers::LimitSharing& limit_sharing() noexcept {
    return limit_sharing_;
  }
  process::peers::QuarantineSharing& quarantine_sharing() noexcept {
    return quarantine_sharing_;
  }
  const process::peers::TargetTunnels& tunnels() const noexcept {
    return tunnels_;
  }

 private:
  // The peers that load is shared with.
  std::vector<process::peers::InstancePeer> SharingPeers() const;
  std::vector<process::peers::InstancePeer> OtherInstances() const;

  const process::peers::InstancePresence& presence_;
  const process::peers::PrefillSharingOptions sharing_;
  process::peers::PeerDatagrams datagrams_;
  process::peers::PrefillSharing prefill_sharing_;
  process::peers::AvoidanceSharing avoidance_sharing_;
  process::peers::RetryLoans retry_loans_;
  process::peers::LimitSharing limit_sharing_;
  process::peers::QuarantineSharing quarantine_sharing_;
  process::peers::ShareSharing share_sharing_;
  process::peers::TargetTunnels tunnels_;
  process::peers::PeerServer server_;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_ENTRY_PEERS_H_
