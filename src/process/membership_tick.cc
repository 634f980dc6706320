// The time-driven part of Membership: Tick() and its steps.
#include "process/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxglade::process {

namespace {

// A longer gap between two ticks means that this process was paused.
constexpr base::Duration kMinPauseGap = std::chrono::seconds(1);
// How often the links to dial are selected again from the members.
constexpr base::Duration kChoiceInterval = std::chrono::milliseconds(500);
// How often links are checked against the selections of both ends.
constexpr base::Duration kWantedCheckInterval = std::chrono::seconds(10);

}  // namespace

MembershipActions Membership::Tick() {
  const base::Time now = clock_();
  AdjustForOwnPause(now);
  MembershipActions actions;
  CheckLinks(now, &actions);
  CloseUnwanted(now, &actions);
  SuspectSilent(now);
  RefreshOwnFact(now);
  DialChosen(now, &actions);
  Probe(now, &actions);
  EvictStalePeers(now);
  actions.publish = std::exchange(to_publish_, {});
  return actions;
}

// After a pause of this process every peer appears silent. Shifts the
// timestamps by the pause, so that it does not count towards the timeouts.
void Membership::AdjustForOwnPause(base::Time now) {
  const base::Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap < kMinPauseGap) {
    return;
  }
  for (auto& [id, link] : links_) {
    link.last_received += gap;
    link.last_acknowledged += gap;
  }
  for (auto& [id, peer] : peers_) {
    peer.last_received += gap;
  }
}

void Membership::CheckLinks(base::Time now, MembershipActions* actions) {
  std::vector<LinkId> broken;
  for (auto& [id, link] : links_) {
    const bool silent = now - link.last_received > options_.silence_timeout;
    const bool not_acknowledged =
        now - link.last_acknowledged > options_.silence_timeout;
    if (silent || not_acknowledged) {
      actions->close.push_back(
          {id, silent ? "silent" : "peer does not receive heartbeats"});
      broken.push_back(id);
      continue;
    }
    if (now >= link.next_heartbeat) {
      link.next_heartbeat = now + options_.heartbeat_interval;
      actions->heartbeats.push_back({id, {++link.sent, link.received}});
    }
  }
  std::ranges::for_each(broken, [&](LinkId id) { OnLinkDown(id); });
}

void Membership::CloseUnwanted(base::Time now, MembershipActions* actions) {
  if (now >= next_wanted_check_) {
    next_wanted_check_ = now + kWantedCheckInterval;
    const auto candidates = Candidates();
    const auto own_choice = ChooseLinks(self_, candidates, options_.links);
    auto with_self = candidates;
    with_self.push_back(self_);
    for (auto& [id, link] : links_) {
      const LinkCandidate peer{link.peer, peers_[link.peer].fact.zone};
      const bool wanted =
          std::ranges::find(own_choice, link.peer) != own_choice.end() ||
          std::ranges::count(ChooseLinks(peer, with_self, options_.links),
                             self_.id) > 0;
      if (wanted) {
        link.unwanted_since.reset();
      } else if (!link.unwanted_since) {
        link.unwanted_since = now;
      }
    }
  }
  for (auto it = links_.begin(); it != links_.end();) {
    const auto next = std::next(it);
    const auto& since = it->second.unwanted_since;
    const bool unwanted = since && now - *since >= options_.unwanted_link_grace;
    if (unwanted || it->second.replaced) {
      actions->close.push_back({it->first, "not selected or replaced"});
      links_.erase(it);
    }
    it = next;
  }
}

void Membership::SuspectSilent(base::Time now) {
  for (auto& [id, peer] : peers_) {
    const bool silent = now - peer.last_received > options_.silence_timeout;
    const bool tried = peer.failures > 0;
    if (!peer.link_lost || !silent || !tried || !peer.version ||
        StateOf(*peer.version) != MemberState::kLive) {
      continue;
    }
    peer.link_lost = false;
    peer.version->sequence += 1;
    to_publish_.push_back(FactOf(id, peer.fact, *peer.version));
  }
}

void Membership::DialChosen(base::Time now, MembershipActions* actions) {
  if (leaving_) {
    return;
  }
  if (now >= next_choice_) {
    next_choice_ = now + kChoiceInterval;
    chosen_ = ChooseLinks(self_, Candidates(), options_.links);
  }
  for (const auto& id : chosen_) {
    const auto it = peers_.find(id);
    if (it != peers_.end()) {
      TryDial(now, id, &it->second, actions);
    }
  }
  // A peer whose link broke is dialled once even if it is not selected: the
  // result decides whether it becomes suspect.
  for (auto& [id, peer] : peers_) {
    if (peer.link_lost && peer.failures == 0) {
      TryDial(now, id, &peer, actions);
    }
  }
}

// Dials one random unreachable or suspect peer, so that zones reconnect after a
// network partition without every instance dialling every other.
void Membership::Probe(base::Time now, MembershipActions* actions) {
  if (leaving_ || now < next_probe_) {
    return;
  }
  next_probe_ = now + Jittered(options_.probe_interval);
  std::vector<base::InstanceId> unreachable;
  for (const auto& [id, peer] : peers_) {
    const MemberState state = StateOfPeer(peer);
    const bool may_run =
        state == MemberState::kLive || state == MemberState::kSuspect;
    if (may_run && !IsCandidate(peer) && !IsLinked(id)) {
      unreachable.push_back(id);
    }
  }
  if (unreachable.empty()) {
    return;
  }
  const auto& id = unreachable[base::UniformBelow(random_, unreachable.size())];
  Peer& peer = peers_[id];
  peer.next_dial = now;
  TryDial(now, id, &peer, actions);
}

bool Membership::TryDial(base::Time now,
                         const base::InstanceId& id,
                         Peer* peer,
                         MembershipActions* actions) {
  const bool retry = peer->failures > 0;
  const bool too_soon = now < peer->next_dial ||
                        now - last_dial_ < options_.dial_spacing ||
                        (retry && now - last_retry_ < options_.retry_spacing);
  if (too_soon || peer->dialling || IsLinked(id)) {
    return false;
  }
  last_dial_ = now;
  if (retry) {
    last_retry_ = now;
  }
  peer->dialling = true;
  actions->dial.push_back({id, peer->fact.address, peer->fact.port});
  return true;
}

void Membership::RefreshOwnFact(base::Time now) {
  if (leaving_ || now < next_refresh_) {
    return;
  }
  next_refresh_ = now + Jittered(options_.refresh_interval);
  own_version_.sequence += 2;
  to_publish_.push_back(FactOf(self_.id, self_fact_, own_version_));
}

void Membership::EvictStalePeers(base::Time now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    const base::Time last_update = std::max(peer.last_received, peer.known_at);
    return !peer.listed && !peer.dialling && !IsLinked(entry.first) &&
           now - last_update > options_.stale_peer_retention;
  });
}

}  // namespace lynxglade::process
