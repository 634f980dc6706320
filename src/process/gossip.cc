#include "process/gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"

namespace lynxglade::process {

namespace {

constexpr base::Duration kExpiryCheckInterval = std::chrono::seconds(1);
// Keeps a summary message at about 64 KB.
constexpr std::size_t kSummaryEntriesPerMessage = 2000;
// Upper bound on the encoded size of a fact beyond its key and body.
constexpr std::size_t kItemOverheadBytes = kMaxPeerIdBytes + 48;
// Load reports are batched to save the overhead per message.
constexpr base::Duration kLoadFlushInterval = std::chrono::milliseconds(900);
// Burst size of the load report budget, as seconds of its rate.
constexpr double kLoadBurstSeconds = 2.0;

// Upper bound on the encoded size, for limiting batches.
std::size_t MaxEncodedSize(const ViewItem& item) {
  return item.key.size() + item.body.size() + kItemOverheadBytes;
}

// Approximate encoded size of a load report.
std::size_t ApproximateEncodedSize(const ViewItem& item) {
  constexpr std::size_t kNumbers = 20;
  return item.key.size() + item.body.size() + item.source.str().size() +
         kNumbers;
}

// Whether the fact is sent without waiting for the next batch.
bool IsUrgent(const ViewItem& item) {
  switch (item.kind) {
    case ViewKind::kConfigHead:
    case ViewKind::kConfigDelta:
    case ViewKind::kQuarantine:
      return true;
    case ViewKind::kInstance:
      return StateOf(item.version) != MemberState::kLive;
    case ViewKind::kTarget:
    case ViewKind::kLoad:
    case ViewKind::kConfigInForce:
    case ViewKind::kListed:
      break;
  }
  return false;
}

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

Gossip::Gossip(GossipOptions options,
               GossipTransport transport,
               base::Clock clock,
               base::RandomSource random,
               base::Metrics& metrics,
               std::function<void(const ViewItem&)> on_newer)
    : options_(std::move(options)),
      transport_(std::move(transport)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      metrics_(metrics),
      on_newer_(std::move(on_newer)),
      store_(options_.rules, clock_),
      membership_(options_.membership,
                  options_.instance,
                  options_.fact,
                  clock_,
                  random_),
      last_load_flush_(clock_()) {}

MergeResult Gossip::Publish(const ViewItem& item) {
  const MergeResult result = Apply(item, std::nullopt);
  if (result == MergeResult::kNewer && item.kind == ViewKind::kLoad) {
    EnqueueLoad(item);
  }
  return result;
}

void Gossip::SetRows(const std::vector<InstanceRow>& rows) {
  membership_.SetRows(rows);
}

void Gossip::OnLinkUp(LinkId link, bool dialled, const HelloMessage& hello) {
  std::string reason;
  if (!membership_.OnLinkUp(link, dialled, hello, &reason)) {
    transport_.close(link, reason);
    return;
  }
  outboxes_[link];
  base::Log(base::LogLevel::kInfo, "peer_link_up",
            {{"peer", hello.instance.str()}, {"zone", hello.zone.str()}});
  // One digest is enough: the exchange that it starts updates both ends.
  if (dialled) {
    SendDigest(link);
  }
}

void Gossip::OnLinkDown(LinkId link) {
  outboxes_.erase(link);
  membership_.OnLinkDown(link);
}

void Gossip::OnMessage(LinkId link, std::string_view bytes) {
  if (membership_.PeerOf(link) == nullptr) {
    return;
  }
  metrics_.GetCounter("lynxglade_peer_messages_received_total").Add();
  metrics_.GetCounter("lynxglade_peer_bytes_received_total").Add(bytes.size());
  PeerMessageError error = PeerMessageError::kNone;
  const auto message = DecodePeerMessage(bytes, clock_(), &error);
  if (!message) {
    CountReceived(ToString(error), 1);
    transport_.close(link, std::string(ToString(error)));
    OnLinkDown(link);
    return;
  }
  membership_.OnMessageReceived(link);
  std::visit([&](const auto& m) { Handle(link, m); }, *message);
}

void Gossip::Tick() {
  const base::Time now = clock_();
  ExecuteActions(membership_.Tick());
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryCheckInterval;
    store_.Expire();
  }
  SendDigestToRandomLink(now);
  FlushLoads(now);
  for (auto& [link, outbox] : outboxes_) {
    if (now >= outbox.next_batch) {
      Flush(link, &outbox);
    }
  }
}

void Gossip::Leave() {
  Apply(membership_.Leave(), std::nullopt);
}

void Gossip::Handle(LinkId link, const HelloMessage& /*message*/) {
  // The hello message is handled before the link is up; another one is a
  // protocol error.
  transport_.close(link, "unexpected hello message on an established link");
  OnLinkDown(link);
}

void Gossip::Handle(LinkId link, const HeartbeatMessage& message) {
  membership_.OnHeartbeat(link, message);
}

void Gossip::Handle(LinkId link, const ViewBatchMessage& message) {
  for (const ViewItem& item : message.items) {
    const MergeResult result = Apply(item, link);
    if (result == MergeResult::kKnown) {
      // The peer holds this version already.
      if (const auto it = outboxes_.find(link); it != outboxes_.end()) {
        it->second.pending.erase({item.kind, item.key});
      }
    }
  }
}

void Gossip::Handle(LinkId link, const DigestMessage& message) {
  SendSummary(link, store_.SummaryOfDifferences(message));
}

void Gossip::Handle(LinkId link, const SummaryMessage& message) {
  FetchMessage fetch;
  for (const SummaryBucket& bucket : message.buckets) {
    Enqueue(link, store_.NamesToSend(bucket));
    const auto older = store_.KeyHashesToFetch(bucket);
    fetch.key_hashes.insert(fetch.key_hashes.end(), older.begin(), older.end());
  }
  if (!fetch.key_hashes.empty()) {
    Send(link, fetch, true);
  }
}

void Gossip::Handle(LinkId link, const FetchMessage& message) {
  Enqueue(link, store_.NamesOf(message.key_hashes));
}

void Gossip::Handle(LinkId link, const CloseLinkMessage& /*message*/) {
  membership_.OnLinkClosedByPeer(link);
  outboxes_.erase(link);
}

MergeResult Gossip::Apply(const ViewItem& item, std::optional<LinkId> from) {
  const MergeResult result = store_.Merge(item);
  switch (result) {
    case MergeResult::kNewer:
      break;
    case MergeResult::kKnown:
      CountReceived("known", 1);
      return result;
    case MergeResult::kOlder:
      CountReceived("older", 1);
      return result;
    case MergeResult::kExpired:
      CountReceived("expired", 1);
      return result;
    case MergeResult::kFull:
      CountReceived("full", 1);
      return result;
  }
  CountReceived("newer", 1);
  if (item.kind == ViewKind::kInstance) {
    membership_.OnFact(item);
  }
  on_newer_(item);
  Forward(item, from);
  return result;
}

void Gossip::Forward(const ViewItem& item, std::optional<LinkId> from) {
  if (item.kind == ViewKind::kLoad) {
    return;
  }
  const bool urgent = IsUrgent(item);
  for (auto& [link, outbox] : outboxes_) {
    if (from && *from == link) {
      continue;
    }
    outbox.pending.insert({item.kind, item.key});
    if (urgent) {
      Flush(link, &outbox);
    }
  }
}

void Gossip::EnqueueLoad(const ViewItem& item) {
  const ViewName name{item.kind, item.key};
  for (const LinkId link : membership_.ZoneLinks()) {
    auto& pending_loads = outboxes_[link].pending_loads;
    if (std::ranges::find(pending_loads, name) == pending_loads.end()) {
      pending_loads.push_back(name);
    }
  }
}

void Gossip::Enqueue(LinkId link, const std::vector<ViewName>& names) {
  const auto it = outboxes_.find(link);
  if (it != outboxes_.end()) {
    it->second.pending.insert(names.begin(), names.end());
  }
}

void Gossip::Flush(LinkId link, Outbox* outbox) {
  if (outbox->pending.empty()) {
    return;
  }
  outbox->next_batch = clock_() + options_.batch_interval;
  std::vector<ViewItem> batch;
  std::size_t bytes = 0;
  for (const ViewName& name : std::exchange(outbox->pending, {})) {
    const ViewItem* item = store_.Find(name);
    if (item == nullptr) {
      continue;
    }
    if (bytes + MaxEncodedSize(*item) > options_.max_batch_bytes &&
        !batch.empty()) {
      SendBatch(link, std::exchange(batch, {}));
      bytes = 0;
    }
    bytes += MaxEncodedSize(*item);
    batch.push_back(*item);
  }
  if (!batch.empty()) {
    SendBatch(link, std::move(batch));
  }
}

// Spends each link's share of the budget on the reports that have been queued
// longest. A report that was replaced while queued is sent in its newest
// version.
void Gossip::FlushLoads(base::Time now) {
  if (now - last_load_flush_ < kLoadFlushInterval) {
    return;
  }
  const double elapsed = Seconds(now - std::exchange(last_load_flush_, now));
  const double rate =
      options_.load_bytes_per_second /
      static_cast<double>(std::max<std::size_t>(outboxes_.size(), 1));
  for (auto& [link, outbox] : outboxes_) {
    outbox.load_budget =
        std::min(outbox.load_budget + elapsed * rate, rate * kLoadBurstSeconds);
    std::vector<ViewItem> batch;
    auto it = outbox.pending_loads.begin();
    for (; it != outbox.pending_loads.end() && outbox.load_budget > 0; ++it) {
      if (const ViewItem* item = store_.Find(*it)) {
        outbox.load_budget -=
            static_cast<double>(ApproximateEncodedSize(*item));
        batch.push_back(*item);
      }
    }
    outbox.pending_loads.erase(outbox.pending_loads.begin(), it);
    if (!batch.empty()) {
      SendBatch(link, std::move(batch));
    }
  }
}

void Gossip::SendBatch(LinkId link, std::vector<ViewItem> items) {
  metrics_.GetCounter("lynxglade_view_items_sent_total").Add(items.size());
  Send(link, ViewBatchMessage{std::move(items)}, true);
}

void Gossip::SendSummary(LinkId link, std::vector<SummaryBucket> buckets) {
  SummaryMessage message;
  std::size_t entries = 0;
  for (SummaryBucket& bucket : buckets) {
    entries += bucket.entries.size();
    message.buckets.push_back(std::move(bucket));
    if (entries >= kSummaryEntriesPerMessage) {
      Send(link, std::exchange(message, {}), true);
      entries = 0;
    }
  }
  if (!message.buckets.empty()) {
    Send(link, message, true);
  }
}

void Gossip::Send(LinkId link, const PeerMessage& message, bool droppable) {
  std::string bytes = EncodePeerMessage(message, clock_());
  metrics_.GetCounter("lynxglade_peer_messages_sent_total").Add();
  metrics_.GetCounter("lynxglade_peer_bytes_sent_total").Add(bytes.size());
  transport_.send(link, std::move(bytes), droppable);
}

void Gossip::SendDigest(LinkId link) {
  Send(link, store_.Digest(), true);
}

void Gossip::SendDigestToRandomLink(base::Time now) {
  if (now < next_digest_) {
    return;
  }
  const double jitter = 0.5 + base::UniformReal(random_);
  next_digest_ = now + std::chrono::duration_cast<base::Duration>(
                           options_.digest_interval * jitter);
  const auto links = membership_.Links();
  if (!links.empty()) {
    SendDigest(links[base::UniformBelow(random_, links.size())]);
  }
}

void Gossip::ExecuteActions(const MembershipActions& actions) {
  std::ranges::for_each(actions.publish, [&](const ViewItem& item) {
    Apply(item, std::nullopt);
  });
  for (const CloseRequest& request : actions.close) {
    base::Log(base::LogLevel::kInfo, "peer_link_closed",
              {{"reason", request.reason}});
    Send(request.link, CloseLinkMessage{}, false);
    transport_.close(request.link, request.reason);
    outboxes_.erase(request.link);
  }
  for (const HeartbeatRequest& request : actions.heartbeats) {
    Send(request.link, request.message, false);
  }
  for (const DialRequest& request : actions.dial) {
    membership_.OnDialStarted(request.peer,
                              transport_.dial(request.address, request.port));
  }
}

void Gossip::CountReceived(std::string_view what, std::uint64_t n) {
  metrics_
      .GetCounter("lynxglade_view_items_received_total",
                  {{"result", std::string(what)}})
      .Add(n);
}

}  // namespace lynxglade::process
