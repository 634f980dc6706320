#include "process/membership.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace lynxglade::process {

namespace {
// Delays dialling into zones that sort before the local one, so that the two
// relays of a pair rarely dial each other at the same time.
constexpr base::Duration kRelayDialDelay = std::chrono::seconds(2);
// Consecutive failed attempts after which a peer counts as unreachable.
constexpr int kUnreachableFailures = 2;
constexpr int kMaxBackoffDoublings = 10;

}  // namespace

Membership::Membership(MembershipOptions options,
                       base::InstanceId self,
                       InstanceFact self_fact,
                       base::Clock clock,
                       base::RandomSource random)
    : options_(options),
      self_{std::move(self), self_fact.zone},
      self_fact_(std::move(self_fact)),
      clock_(std::move(clock)),
      random_(std::move(random)) {
  last_tick_ = clock_();
  next_probe_ = last_tick_ + Jittered(options_.probe_interval);
  // Publish the fact about this instance on the first tick.
  next_refresh_ = last_tick_;
}

void Membership::SetRows(const std::vector<InstanceRow>& rows) {
  const base::Time now = clock_();
  std::ranges::for_each(peers_, [](auto& it) { it.second.listed = false; });
  for (const InstanceRow& row : rows) {
    if (row.id == self_.id || IsSelf(row.address, row.peer_port)) {
      continue;
    }
    const auto it = peers_.find(row.id);
    if (it != peers_.end()) {
      it->second.listed = true;
      continue;
    }
    if (row.leaving || IsAddressInUse(row)) {
      continue;
    }
    Peer peer;
    peer.fact = {row.zone, row.address, row.peer_port};
    peer.listed = true;
    peer.last_received = now;
    peer.known_at = now;
    peer.next_dial =
        row.zone < self_.zone ? now + kRelayDialDelay : base::Time{};
    peers_.emplace(row.id, std::move(peer));
  }
}

void Membership::OnFact(const ViewItem& item) {
  const base::InstanceId id(item.key);
  if (id == self_.id) {
    // A peer suspects this instance, or holds a newer fact about it than
    // own_version_. Refute it with the next even sequence.
    if (item.version > own_version_ && item.version.epoch == kRunningEpoch &&
        !leaving_) {
      const std::uint64_t next = item.version.sequence | 1;
      own_version_.sequence = next + 1;
      to_publish_.push_back(FactOf(self_.id, self_fact_, own_version_));
    }
    return;
  }
  const auto fact = DecodeInstanceFact(item.body);
  if (!fact || IsSelf(fact->address, fact->port)) {
    return;
  }
  const base::Time now = clock_();
  const auto [it, is_new] = peers_.try_emplace(id);
  Peer& peer = it->second;
  if (is_new) {
    peer.last_received = now;
    peer.next_dial = fact->zone < self_.zone ? now + kRelayDialDelay : now;
  }
  peer.known_at = now;
  peer.fact = *fact;
  const bool was_suspect = StateOfPeer(peer) == MemberState::kSuspect;
  peer.version = item.version;
  if (was_suspect && StateOfPeer(peer) == MemberState::kLive) {
    // The peer refuted the suspicion, though this instance cannot reach it. Do
    // not suspect it again for the same lost link.
    peer.link_lost = false;
  }
}

void Membership::OnDialStarted(const base::InstanceId& peer, LinkId link) {
  attempts_[link] = peer;
}

bool Membership::OnLinkUp(LinkId link,
                          bool dialled,
                          const HelloMessage& hello,
                          std::string* reason) {
  if (const auto it = attempts_.find(link); it != attempts_.end()) {
    if (const auto peer = peers_.find(it->second); peer != peers_.end()) {
      peer->second.dialling = false;
      // Another process answered at the peer's address.
      if (it->second != hello.instance) {
        ScheduleRetry(&peer->second);
      }
    }
    attempts_.erase(it);
  }
  if (hello.instance == self_.id) {
    *reason = "peer has the id of this instance";
    return false;
  }
  const InstanceFact fact{hello.zone, hello.address, hello.port};
  ReplaceInstanceAt(hello.instance, fact);
  const base::Time now = clock_();
  const auto [it, is_new] = peers_.try_emplace(hello.instance);
  Peer& peer = it->second;
  peer.fact = fact;
  peer.last_received = now;
  peer.known_at = now;
  peer.link_lost = false;
  peer.failures = 0;
  peer.next_dial = {};
  if (!peer.version) {
    peer.version = ViewVersion{kRunningEpoch, 0};
  }
  // When two instances dialled each other, both ends keep the link started by
  // the instance with the smaller id.
  const auto other = std::ranges::find_if(links_, [&](const auto& entry) {
    return entry.second.peer == hello.instance;
  });
  if (other != links_.end()) {
    // A new link in the same direction replaces the previous one: the peer has
    // already lost that one.
    const bool same_direction = dialled == other->second.dialled;
    const bool keep_other =
        other->second.dialled == (self_.id < hello.instance);
    if (!same_direction && keep_other) {
      *reason = "duplicate link";
      return false;
    }
    other->second.replaced = true;
  }
  Link new_link;
  new_link.peer = hello.instance;
  new_link.dialled = dialled;
  new_link.up_since = now;
  new_link.last_received = now;
  new_link.last_acknowledged = now;
  new_link.next_heartbeat = now;
  links_.emplace(link, new_link);
  return true;
}

void Membership::OnLinkDown(LinkId link) {
  if (const auto it = attempts_.find(link); it != attempts_.end()) {
    if (const auto peer = peers_.find(it->second); peer != peers_.end()) {
      peer->second.dialling = false;
      ScheduleRetry(&peer->second);
    }
    attempts_.erase(it);
    return;
  }
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  const base::InstanceId id = it->second.peer;
  links_.erase(it);
  const auto peer = peers_.find(id);
  if (peer != peers_.end() && !IsLinked(id)) {
    peer->second.link_lost = true;
    // Jitter, so that the instances that lost the same peer do not all redial
    // at the same time.
    peer->second.next_dial = clock_() + Jittered(options_.min_backoff);
  }
}

void Membership::OnMessageReceived(LinkId link) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  it->second.last_received = clock_();
  if (const auto peer = peers_.find(it->second.peer); peer != peers_.end()) {
    peer->second.last_received = it->second.last_received;
  }
}

void Membership::OnHeartbeat(LinkId link, const HeartbeatMessage& message) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  it->second.received = std::max(it->second.received, message.sequence);
  if (message.echo > it->second.last_echo) {
    it->second.last_echo = message.echo;
    it->second.last_acknowledged = clock_();
  }
}

void Membership::OnLinkClosedByPeer(LinkId link) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  const base::InstanceId id = it->second.peer;
  links_.erase(it);
  if (const auto peer = peers_.find(id); peer != peers_.end()) {
    peer->second.link_lost = false;
  }
}

ViewItem Membership::Leave() {
  leaving_ = true;
  own_version_ = {kLeavingEpoch, 0};
  return FactOf(self_.id, self_fact_, own_version_);
}

const base::InstanceId* Membership::PeerOf(LinkId link) const {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : &it->second.peer;
}

std::vector<LinkId> Membership::Links() const {
  std::vector<LinkId> ids;
  std::ranges::transform(links_, std::back_inserter(ids),
                         [](const auto& entry) { return entry.first; });
  return ids;
}

std::vector<LinkId> Membership::ZoneLinks() const {
  std::vector<LinkId> ids;
  for (const auto& [id, link] : links_) {
    const auto peer = peers_.find(link.peer);
    if (peer != peers_.end() && peer->second.fact.zone == self_.zone) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> members;
  members.push_back({self_.id, self_.zone, self_fact_.address, self_fact_.port,
                     StateOf(own_version_), false});
  std::ranges::transform(
      peers_, std::back_inserter(members), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return Member{entry.first,    peer.fact.zone,    peer.fact.address,
                      peer.fact.port, StateOfPeer(peer), IsLinked(entry.first)};
      });
  return members;
}

std::vector<base::InstanceId> Membership::LiveInstances(
    const base::ZoneId& zone) const {
  std::vector<base::InstanceId> ids;
  for (const Member& member : Members()) {
    if (member.zone == zone && member.state == MemberState::kLive) {
      ids.push_back(member.id);
    }
  }
  return ids;
}

bool Membership::IsSelf(const std::string& address, int port) const {
  return address == self_fact_.address && port == self_fact_.port;
}

MemberState Membership::StateOfPeer(const Peer& peer) const {
  // A row of the instance list does not prove that the peer runs.
  return peer.version ? StateOf(*peer.version) : MemberState::kSuspect;
}

bool Membership::IsCandidate(const Peer& peer) const {
  if (peer.failures >= kUnreachableFailures) {
    return false;
  }
  return !peer.version || StateOf(*peer.version) == MemberState::kLive;
}

bool Membership::IsLinked(const base::InstanceId& id) const {
  return std::ranges::any_of(
      links_, [&](const auto& entry) { return entry.second.peer == id; });
}

std::vector<LinkCandidate> Membership::Candidates() const {
  std::vector<LinkCandidate> candidates;
  for (const auto& [id, peer] : peers_) {
    if (IsCandidate(peer)) {
      candidates.push_back({id, peer.fact.zone});
    }
  }
  return candidates;
}

// Whether a peer that a fact or hello message has confirmed uses the row's
// address. If so, the row is outdated, or the platform lists that peer under
// another id.
bool Membership::IsAddressInUse(const InstanceRow& row) const {
  return std::ranges::any_of(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.fact.address == row.address &&
           peer.fact.port == row.peer_port && peer.version &&
           StateOf(*peer.version) != MemberState::kGone;
  });
}

// A hello message proves which instance is at an address. Any other
// peer at that address is marked as gone, or removed if only a row named it.
void Membership::ReplaceInstanceAt(const base::InstanceId& id,
                                   const InstanceFact& fact) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const auto next = std::next(it);
    Peer& peer = it->second;
    const bool replaced = it->first != id &&
                          peer.fact.address == fact.address &&
                          peer.fact.port == fact.port;
    if (replaced && !peer.version && !IsLinked(it->first)) {
      peers_.erase(it);
    } else if (replaced && peer.version && peer.version->epoch < kGoneEpoch) {
      peer.version = ViewVersion{kGoneEpoch, 0};
      peer.known_at = clock_();
      peer.link_lost = false;
      to_publish_.push_back(FactOf(it->first, peer.fact, *peer.version));
    }
    it = next;
  }
}

void Membership::ScheduleRetry(Peer* peer) {
  const int doublings = std::min(peer->failures, kMaxBackoffDoublings);
  const base::Duration backoff =
      std::min(options_.min_backoff * (1 << doublings), options_.max_backoff);
  ++peer->failures;
  peer->next_dial = clock_() + Jittered(backoff);
}

// Uniform in [d/2, 3d/2).
base::Duration Membership::Jittered(base::Duration d) {
  const auto factor = 0.5 + base::UniformReal(random_);
  return std::chrono::duration_cast<base::Duration>(d * factor);
}

ViewItem Membership::FactOf(const base::InstanceId& id,
                            const InstanceFact& fact,
                            ViewVersion version) const {
  ViewItem item;
  item.kind = ViewKind::kInstance;
  item.key = id.str();
  item.version = version;
  item.source = self_.id;
  item.as_of = clock_();
  item.body = EncodeInstanceFact(fact);
  return item;
}

}  // namespace lynxglade::process
