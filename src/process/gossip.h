// Replicates facts between instances: combines the view store and the
// membership with a message transport supplied by the caller.
//
// A fact that is new to this instance is forwarded to every link except the one
// it came from. Pending facts are queued per link by name, so that only the
// newest version is sent. Digests are compared when a link comes up and
// periodically with a random peer, which repairs lost updates. Load reports
// travel one hop, to peers in the same zone, under a bandwidth limit.
#ifndef LYNXGLADE_PROCESS_GOSSIP_H_
#define LYNXGLADE_PROCESS_GOSSIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/membership.h"
#include "process/peer_messages.h"
#include "process/view_item.h"
#include "process/view_store.h"

namespace lynxglade::process {

struct GossipOptions {
  base::InstanceId instance;
  InstanceFact fact;
  MembershipOptions membership;
  ViewRules rules = DefaultViewRules();
  // Minimum time between two batches on a link. Configuration and quarantine
  // facts, and facts that an instance is not live, are sent without this delay.
  base::Duration batch_interval = std::chrono::milliseconds(200);
  // Mean time between two digests sent to a random link.
  base::Duration digest_interval = std::chrono::seconds(30);
  // Bandwidth limit for load reports, over all links.
  double load_bytes_per_second = 1000;
  std::size_t max_batch_bytes = 48u << 10;
};

// Transport for messages. The functions must not call back into Gossip.
struct GossipTransport {
  // Starts to connect and returns the link's id. OnLinkUp or OnLinkDown reports
  // the result.
  std::function<LinkId(const std::string& address, int port)> dial;
  // A `droppable` message may be discarded when the peer is slow.
  std::function<void(LinkId, std::string message, bool droppable)> send;
  std::function<void(LinkId, const std::string& reason)> close;
};

// Not thread-safe.
class Gossip {
 public:
  // `on_newer` is called for each fact that is newly merged into the store.
  Gossip(GossipOptions options,
         GossipTransport transport,
         base::Clock clock,
         base::RandomSource random,
         base::Metrics& metrics,
         std::function<void(const ViewItem&)> on_newer);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  MergeResult Publish(const ViewItem& item);
  void SetRows(const std::vector<InstanceRow>& rows);
  void OnLinkUp(LinkId link, bool dialled, const HelloMessage& hello);
  void OnLinkDown(LinkId link);
  void OnMessage(LinkId link, std::string_view bytes);
  // Call about every 100 ms.
  void Tick();
  // Announces to all links that this instance is leaving, without delay.
  void Leave();

  const ViewStore& store() const noexcept { return store_; }
  const Membership& membership() const noexcept { return membership_; }

 private:
  struct Outbox {
    std::set<ViewName> pending;
    // Load reports, longest queued first, and the bytes they may use now.
    std::vector<ViewName> pending_loads;
    double load_budget = 0;
    base::Time next_batch{};
  };

  void Handle(LinkId link, const HelloMessage& message);
  void Handle(LinkId link, const HeartbeatMessage& message);
  void Handle(LinkId link, const ViewBatchMessage& message);
  void Handle(LinkId link, const DigestMessage& message);
  void Handle(LinkId link, const SummaryMessage& message);
  void Handle(LinkId link, const FetchMessage& message);
  void Handle(LinkId link, const CloseLinkMessage& message);

  MergeResult Apply(const ViewItem& item, std::optional<LinkId> from);
  void Forward(const ViewItem& item, std::optional<LinkId> from);
  void EnqueueLoad(const ViewItem& item);
  void Enqueue(LinkId link, const std::vector<ViewName>& names);
  void Flush(LinkId link, Outbox* outbox);
  void FlushLoads(base::Time now);
  void SendBatch(LinkId link, std::vector<ViewItem> items);
  void SendSummary(LinkId link, std::vector<SummaryBucket> buckets);
  void Send(LinkId link, const PeerMessage& message, bool droppable);
  void SendDigest(LinkId link);
  void SendDigestToRandomLink(base::Time now);
  void ExecuteActions(const MembershipActions& actions);
  void CountReceived(std::string_view what, std::uint64_t n);

  const GossipOptions options_;
  const GossipTransport transport_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  const std::function<void(const ViewItem&)> on_newer_;
  ViewStore store_;
  Membership membership_;
  std::map<LinkId, Outbox> outboxes_;
  base::Time next_digest_{};
  base::Time next_expiry_{};
  base::Time last_load_flush_{};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_GOSSIP_H_
