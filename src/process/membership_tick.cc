// What Membership does as time passes: the steps of Tick().
#include "process/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxglade::process {

namespace {

// A gap between two ticks that only a pause of this process explains.
constexpr base::Duration kPauseGap = std::chrono::seconds(1);
// How often the choice of links is worked out again from the members.
constexpr base::Duration kChoiceInterval = std::chrono::milliseconds(500);
// How often links are compared with the choice of both ends.
constexpr base::Duration kWantedCheckInterval = std::chrono::seconds(10);

}  // namespace

MembershipActions Membership::Tick() {
  const base::Time now = clock_();
  ForgiveOwnPause(now);
  MembershipActions actions;
  CheckLinks(now, &actions);
  CloseUnwanted(now, &actions);
  SuspectSilent(now);
  RefreshOwnFact(now);
  DialChosen(now, &actions);
  Probe(now, &actions);
  Forget(now);
  actions.publish = std::exchange(to_publish_, {});
  return actions;
}

// After a pause of our own every peer looks silent; the time that we slept
// through is no evidence against them.
void Membership::ForgiveOwnPause(base::Time now) {
  const base::Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap < kPauseGap) {
    return;
  }
  for (auto& [id, link] : links_) {
    link.heard += gap;
    link.echoed += gap;
  }
  for (auto& [id, peer] : peers_) {
    peer.heard += gap;
  }
}

void Membership::CheckLinks(base::Time now, MembershipActions* actions) {
  std::vector<LinkId> broken;
  for (auto& [id, link] : links_) {
    const bool silent = now - link.heard > options_.silence_timeout;
    const bool unheard = now - link.echoed > options_.silence_timeout;
    if (silent || unheard) {
      actions->close.push_back(
          {id, silent ? "silent" : "heard but does not hear"});
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
    const auto mine = ChooseLinks(self_, candidates, options_.links);
    auto with_self = candidates;
    with_self.push_back(self_);
    for (auto& [id, link] : links_) {
      const LinkCandidate peer{link.peer, peers_[link.peer].fact.zone};
      const bool wanted =
          std::ranges::find(mine, link.peer) != mine.end() ||
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
      actions->close.push_back({it->first, "not chosen"});
      links_.erase(it);
    }
    it = next;
  }
}

void Membership::SuspectSilent(base::Time now) {
  for (auto& [id, peer] : peers_) {
    const bool silent = now - peer.heard > options_.silence_timeout;
    const bool tried = peer.failures > 0;
    if (!peer.lost || !silent || !tried || !peer.version ||
        StateOf(*peer.version) != MemberState::kLive) {
      continue;
    }
    peer.lost = false;
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
  // Whoever was lost is tried once, chosen or not: the answer decides whether
  // it is suspected.
  for (auto& [id, peer] : peers_) {
    if (peer.lost && peer.failures == 0) {
      TryDial(now, id, &peer, actions);
    }
  }
}

// One peer at a time that is out of reach or suspected: how parted zones find
// each other again without everybody dialling everybody.
void Membership::Probe(base::Time now, MembershipActions* actions) {
  if (leaving_ || now < next_probe_) {
    return;
  }
  next_probe_ = now + Jittered(options_.probe_interval);
  std::vector<base::InstanceId> away;
  for (const auto& [id, peer] : peers_) {
    const MemberState state = StateOfPeer(peer);
    const bool may_run =
        state == MemberState::kLive || state == MemberState::kSuspect;
    if (may_run && !IsCandidate(peer) && !IsLinked(id)) {
      away.push_back(id);
    }
  }
  if (away.empty()) {
    return;
  }
  const auto& id = away[base::UniformBelow(random_, away.size())];
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

void Membership::Forget(base::Time now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    const base::Time last_word = std::max(peer.heard, peer.known_at);
    return !peer.listed && !peer.dialling && !IsLinked(entry.first) &&
           now - last_word > options_.stale_peer_retention;
  });
}

}  // namespace lynxglade::process
