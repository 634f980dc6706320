#include "request/passthrough/limit_share.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "base/hash.h"

namespace lynxglade::request::passthrough {

namespace {

// Part of the limit for the senders if there are other instances as well; the
// rest is for their probes.
constexpr double kSenderFraction = 0.9;
// Probes of all instances together go on at this rate at a target that accepts
// nothing: without them the end of the limit would never be learnt.
constexpr base::PerSecond kMinRate(0.2);
// Senders in addition to one for each request a second.
constexpr int kExtraSenders = 2;

// Position of `self` in the order in which instances become senders; nothing if
// it is not among them.
std::optional<int> RankOf(const base::InstanceId& self,
                          const base::TargetId& target,
                          const base::ZoneId& zone,
                          const std::vector<FleetMember>& members) {
  const auto key = [&](const FleetMember& it) {
    return std::tuple(it.zone != zone,
                      base::HashPair(target.str(), it.instance.str()),
                      it.instance);
  };
  const auto own = std::ranges::find(members, self, &FleetMember::instance);
  if (own == members.end()) {
    return std::nullopt;
  }
  return static_cast<int>(std::ranges::count_if(
      members,
      [&, own_key = key(*own)](const auto& it) { return it < own_key; }, key));
}

}  // namespace

base::Duration SendInterval(base::PerSecond rate) noexcept {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(1 / rate.value()));
}

LimitShare SelectLimitShare(base::PerSecond limit,
                            const base::TargetId& target,
                            const base::ZoneId& zone,
                            const base::InstanceId& self,
                            const FleetView& fleet) {
  // Beyond this a limit no longer matters, and a count of senders that fits an
  // int.
  constexpr base::PerSecond kMaxRate(1e6);
  const base::PerSecond rate = std::clamp(limit, kMinRate, kMaxRate);
  LimitShare share;
  share.instances = std::max(
      {fleet.instance_count, static_cast<int>(fleet.members.size()), 1});
  share.senders =
      std::min(static_cast<int>(rate.value()) + kExtraSenders, share.instances);
  if (share.senders == share.instances) {
    share.is_sender = true;
    share.rate = base::PerSecond(rate.value() / share.instances);
    return share;
  }
  const int rank =
      RankOf(self, target, zone, fleet.members).value_or(share.instances - 1);
  share.is_sender = rank < share.senders;
  if (share.is_sender) {
    share.rate =
        base::PerSecond(kSenderFraction * rate.value() / share.senders);
    return share;
  }
  const int others = share.instances - share.senders;
  const int position = std::min(rank, share.instances - 1) - share.senders;
  const double probes = (1 - kSenderFraction) * rate.value();
  share.rate = base::PerSecond(probes / others);
  share.probe_cycle = SendInterval(share.rate);
  share.probe_offset = share.probe_cycle / others * position;
  return share;
}

base::Time ProbeSlotBegin(const LimitShare& share,
                          base::Time named_at,
                          base::Time now) noexcept {
  const base::Time first = named_at + share.probe_offset;
  if (now < first) {
    return first;
  }
  const base::Time begin =
      first + (now - first) / share.probe_cycle * share.probe_cycle;
  return now < begin + kProbeSlot ? begin : begin + share.probe_cycle;
}

}  // namespace lynxglade::request::passthrough
