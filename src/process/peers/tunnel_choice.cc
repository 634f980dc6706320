#include "process/peers/tunnel_choice.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace lynxglade::process::peers {

namespace {

using connection::event::TunnelReply;
using request::passthrough::TargetGroup;

// Time constant with which the count of tunnels opened decays.
constexpr base::Duration kLoadDecay = std::chrono::seconds(2);
// What an instance replied longer ago has no effect any more.
constexpr base::Duration kMaxStateAge = std::chrono::seconds(10);

double Decayed(double count, base::Duration age) {
  return count *
         std::exp(-base::ToFineMillis(age) / base::ToFineMillis(kLoadDecay));
}

}  // namespace

TunnelChoice::TunnelChoice(TunnelChoiceOptions options,
                           base::RandomSource random)
    : options_(std::move(options)), random_(std::move(random)) {}

std::optional<InstancePeer> TunnelChoice::Choose(
    const std::vector<InstancePeer>& peers,
    const TargetGroup& group,
    const std::vector<base::InstanceId>& tried,
    base::Time now) const {
  std::vector<const InstancePeer*> usable;
  for (const InstancePeer& it : peers) {
    if (it.instance != options_.instance &&
        std::ranges::find(tried, it.instance) == tried.end() &&
        !IsLeftOut(it.instance, group, now)) {
      usable.push_back(&it);
    }
  }
  const auto far = std::ranges::partition(
      usable,
      [this](const InstancePeer* it) { return it->zone == options_.zone; });
  // After one of the own zone could not help: the zone may be cut off as a
  // whole.
  if (tried.empty() && far.begin() != usable.begin()) {
    usable.erase(far.begin(), usable.end());
  } else if (!far.empty()) {
    usable.erase(usable.begin(), far.begin());
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const InstancePeer* first =
      usable[base::UniformBelow(random_, usable.size())];
  const InstancePeer* second =
      usable[base::UniformBelow(random_, usable.size())];
  return LoadOf(second->instance, now) < LoadOf(first->instance, now) ? *second
                                                                      : *first;
}

bool TunnelChoice::IsCutOff(const TargetGroup& group, base::Time now) const {
  return std::ranges::any_of(peers_, [&](const auto& row) {
    const auto it = row.second.unreached_until.find(group);
    return it != row.second.unreached_until.end() && now < it->second;
  });
}

void TunnelChoice::OnReply(const base::InstanceId& peer,
                           const TargetGroup& group,
                           TunnelReply reply,
                           base::Time now) {
  std::erase_if(peers_, [now](const auto& row) {
    return now - row.second.told_at > kMaxStateAge;
  });
  PeerState& it = peers_[peer];
  it.told_at = now;
  switch (reply) {
    case TunnelReply::kOpened:
      it.opened = Decayed(it.opened, now - it.opened_at) + 1;
      it.opened_at = now;
      it.unreached_until.erase(group);
      break;
    case TunnelReply::kNoOwnWay:
      it.unreached_until[group] = now + options_.leave_out;
      break;
    case TunnelReply::kBusy:
    case TunnelReply::kForbidden:
    case TunnelReply::kNoReply:
      it.left_out_until = now + options_.leave_out;
      break;
    case TunnelReply::kTargetSilent:
      it.unreached_until[group] = now + options_.leave_out_silent;
      break;
    case TunnelReply::kTargetRefused:
    case TunnelReply::kTargetUnreached:
      break;
  }
}

bool TunnelChoice::IsLeftOut(const base::InstanceId& peer,
                             const TargetGroup& group,
                             base::Time now) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) {
    return false;
  }
  const auto unreached = it->second.unreached_until.find(group);
  return now < it->second.left_out_until ||
         (unreached != it->second.unreached_until.end() &&
          now < unreached->second);
}

double TunnelChoice::LoadOf(const base::InstanceId& peer,
                            base::Time now) const {
  const auto it = peers_.find(peer);
  return it == peers_.end()
             ? 0
             : Decayed(it->second.opened, now - it->second.opened_at);
}

}  // namespace lynxglade::process::peers
