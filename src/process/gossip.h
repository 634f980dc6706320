// How facts spread: the view store and the membership put together, over
// links that somebody else carries.
//
// A fact that is new to this instance goes on to every link but the one it
// came by; facts that wait for a link are kept by name, so that only the
// newest version is ever sent. A link that comes up, and now and then one at
// random, is compared by digest, which finds whatever was lost. Load reports
// go one hop, to links of the own zone, under a byte budget.
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
  // Between two batches on a link; configuration, quarantine and leaving
  // notices do not wait for it.
  base::Duration batch_interval = std::chrono::milliseconds(200);
  // Mean time between two comparisons with a random link.
  base::Duration digest_interval = std::chrono::seconds(30);
  // Bytes a second of load reports over all links together.
  double load_bytes_per_second = 1000;
  std::size_t max_batch_bytes = 48u << 10;
};

// Carries messages; none of these may call back into Gossip.
struct GossipTransport {
  // Starts an attempt and names it; its end is OnLinkUp or OnLinkDown.
  std::function<LinkId(const std::string& address, int port)> dial;
  // `droppable`: may be thrown away for a slow peer.
  std::function<void(LinkId, std::string message, bool droppable)> send;
  std::function<void(LinkId, const std::string& reason)> close;
};

// Not thread-safe.
class Gossip {
 public:
  // `on_newer` is called for each fact that the store takes.
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
  // To be called about every 100 ms.
  void Tick();
  // Sends the leaving notice at once.
  void Leave();

  const ViewStore& store() const noexcept { return store_; }
  const Membership& membership() const noexcept { return membership_; }

 private:
  struct Outbox {
    std::set<ViewName> waiting;
    // Load reports, longest waiting first, and the bytes they may take now.
    std::vector<ViewName> loads;
    double load_budget = 0;
    base::Time next_batch{};
  };

  void Handle(LinkId link, const HelloMessage& message);
  void Handle(LinkId link, const HeartbeatMessage& message);
  void Handle(LinkId link, const ViewBatchMessage& message);
  void Handle(LinkId link, const DigestMessage& message);
  void Handle(LinkId link, const SummaryMessage& message);
  void Handle(LinkId link, const WantMessage& message);
  void Handle(LinkId link, const LeaveMessage& message);

  MergeResult Take(const ViewItem& item, std::optional<LinkId> from);
  void PassOn(const ViewItem& item, std::optional<LinkId> from);
  void EnqueueLoad(const ViewItem& item);
  void Enqueue(LinkId link, const std::vector<ViewName>& names);
  void Flush(LinkId link, Outbox* outbox);
  void FlushLoads(base::Time now);
  void SendBatch(LinkId link, std::vector<ViewItem> items);
  void SendSummary(LinkId link, std::vector<SummaryBucket> buckets);
  void Send(LinkId link, const PeerMessage& message, bool droppable);
  void SendDigest(LinkId link);
  void CompareWithOne(base::Time now);
  void Run(const MembershipActions& actions);
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
