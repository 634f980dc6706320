#include "process/usage/usage_sharing.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "base/hash.h"
#include "process/usage/usage_messages.h"

namespace lynxglade::process::usage {

namespace {

using peers::DatagramKind;
using peers::InstancePeer;

constexpr base::Duration kTick = std::chrono::milliseconds(50);

}  // namespace

std::vector<InstancePeer> SelectCollectors(
    const std::vector<InstancePeer>& instances,
    const base::InstanceId& holder,
    std::size_t count) {
  std::vector<InstancePeer> rest = instances;
  std::ranges::sort(rest, {}, [&holder](const InstancePeer& it) {
    return std::pair(it.instance != holder, base::Hash64(it.instance.str()));
  });
  std::vector<InstancePeer> chosen;
  std::set<base::ZoneId> zones;
  // The first of each zone, then whichever are left.
  for (const bool new_zone : {true, false}) {
    for (const InstancePeer& it : rest) {
      const bool taken =
          std::ranges::find(chosen, it.instance, &InstancePeer::instance) !=
          chosen.end();
      if (chosen.size() < count && !taken &&
          (!new_zone || zones.insert(it.zone).second)) {
        chosen.push_back(it);
      }
    }
  }
  return chosen;
}

UsageSharing::UsageSharing(UsageTable& table,
                           FleetClock& fleet_clock,
                           const peers::InstancePresence& presence,
                           peers::PeerDatagrams& datagrams,
                           std::function<base::InstanceId()> holder,
                           UsageSharingOptions options,
                           base::Clock clock,
                           base::Metrics& metrics)
    : table_(table),
      fleet_clock_(fleet_clock),
      presence_(presence),
      datagrams_(datagrams),
      holder_(std::move(holder)),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

void UsageSharing::Start() {
  datagrams_.SetHandler(
      DatagramKind::kUsageUpdate,
      [this](const InstancePeer& from, std::string_view bytes) {
        return HandleUpdate(from, bytes);
      });
  datagrams_.SetHandler(
      DatagramKind::kUsageAck,
      [this](const InstancePeer& from, std::string_view bytes) {
        return HandleAck(from, bytes);
      });
  datagrams_.CallPeriodically(kTick, [this] { SendUpdates(); });
}

base::Duration UsageSharing::Period() const {
  return std::clamp<base::Duration>(
      presence_.Count() * options_.period_per_instance, options_.min_period,
      options_.max_period);
}

void UsageSharing::SendUpdates() {
  const base::Time now = clock_();
  if (now < send_at_) {
    return;
  }
  send_at_ = now + Period();
  bool news = false;
  for (const InstancePeer& to :
       SelectCollectors(presence_.Peers(), holder_(), options_.collectors)) {
    if (to.instance != options_.instance) {
      news = SendUpdate(to) || news;
    }
  }
  if (news) {
    sent_at_ = now;
  }
}

bool UsageSharing::SendUpdate(const InstancePeer& to) {
  // Processes that still run send their rows themselves.
  std::set<OriginId> running;
  for (const auto& [instance, sender] : senders_) {
    if (clock_() - sender.heard <= options_.max_period * 2) {
      running.insert(sender.origin);
    }
  }
  const auto wanted = [&](const OriginId& origin) {
    return origin == options_.origin || !running.contains(origin);
  };
  UsageUpdate update;
  update.origin = options_.origin;
  std::string bytes;
  // Long names take more room than the usual number of rows has.
  for (std::size_t limit = kMaxUpdateRows; limit > 0; limit /= 2) {
    update.rows = table_.ChangedAfter(collectors_[to.instance].acknowledged,
                                      limit, wanted, &update.change);
    update.time = fleet_clock_.OwnNow();
    bytes = EncodeUsageUpdate(update);
    if (bytes.size() <= kMaxUpdateBytes) {
      break;
    }
  }
  if (update.rows.empty() && clock_() - sent_at_ < options_.idle_period) {
    return false;
  }
  datagrams_.Send(to, DatagramKind::kUsageUpdate, bytes);
  return true;
}

bool UsageSharing::HandleUpdate(const InstancePeer& from,
                                std::string_view bytes) {
  const auto update = DecodeUsageUpdate(bytes);
  if (!update) {
    return false;
  }
  fleet_clock_.AddClock(from.instance, update->time);
  Sender& sender = senders_[from.instance];
  sender.heard = clock_();
  sender.origin = update->origin;
  std::ranges::for_each(update->rows,
                        [this](const UsageRow& it) { table_.Merge(it); });
  datagrams_.Send(from, DatagramKind::kUsageAck,
                  EncodeUsageAck({.origin = options_.origin,
                                  .change = update->change,
                                  .time = fleet_clock_.DirectNow(),
                                  .clocks = fleet_clock_.DirectClocks()}));
  return true;
}

// A collector that has restarted has lost its table.
bool UsageSharing::HandleAck(const InstancePeer& from, std::string_view bytes) {
  const auto ack = DecodeUsageAck(bytes);
  if (!ack) {
    return false;
  }
  fleet_clock_.AddEstimate(from.instance, ack->time, ack->clocks);
  Collector& collector = collectors_[from.instance];
  if (collector.origin != ack->origin) {
    const bool restarted = !collector.origin.empty();
    collector = {ack->origin, ChangeNumber()};
    if (restarted) {
      return true;
    }
  }
  collector.acknowledged = std::max(collector.acknowledged, ack->change);
  return true;
}

double UsageSharing::MissingPart(base::Time end, base::Duration length) const {
  const auto& instances = presence_.Peers();
  double missing = 0;
  for (const InstancePeer& it : instances) {
    if (it.instance == options_.instance) {
      continue;
    }
    const auto sender = senders_.find(it.instance);
    const base::Time heard =
        sender == senders_.end() ? base::Time() : sender->second.heard;
    missing += std::clamp(
        base::ToFineMillis(end - heard) / base::ToFineMillis(length), 0.0, 1.0);
  }
  return instances.empty() ? 0
                           : missing / static_cast<double>(instances.size());
}

}  // namespace lynxglade::process::usage
