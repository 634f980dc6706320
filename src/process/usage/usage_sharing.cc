#include "process/usage/usage_sharing.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
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
                           base::Clock clock)
    : table_(table),
      fleet_clock_(fleet_clock),
      presence_(presence),
      datagrams_(datagrams),
      holder_(std::move(holder)),
      options_(std::move(options)),
      clock_(std::move(clock)) {}

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
  datagrams_.SetHandler(DatagramKind::kUsageRequest,
                        [this](const InstancePeer& from, std::string_view) {
                          return HandleRequest(from);
                        });
  datagrams_.CallPeriodically(kTick, [this] { SendUpdates(); });
}

base::Duration UsageSharing::Period() const {
  return std::clamp<base::Duration>(
      presence_.Count() * options_.period_per_instance, options_.min_period,
      options_.max_period);
}

std::vector<InstancePeer> UsageSharing::Collectors() const {
  const auto& instances = presence_.Peers();
  std::vector<InstancePeer> collectors =
      SelectCollectors(instances, holder_(), options_.collectors);
  std::ranges::copy_if(
      instances, std::back_inserter(collectors), [&](const InstancePeer& it) {
        const auto requested = requested_at_.find(it.instance);
        return requested != requested_at_.end() &&
               clock_() - requested->second <= options_.request_ttl &&
               std::ranges::find(collectors, it.instance,
                                 &InstancePeer::instance) == collectors.end();
      });
  return collectors;
}

void UsageSharing::SendUpdates() {
  const base::Time now = clock_();
  RequestUpdates();
  if (now < send_at_) {
    return;
  }
  send_at_ = now + Period();
  const bool even_empty = now - sent_at_ >= options_.idle_period;
  bool sent = false;
  for (const InstancePeer& to : Collectors()) {
    if (to.instance != options_.instance) {
      sent = SendUpdate(to, even_empty) || sent;
    }
  }
  if (sent) {
    sent_at_ = now;
  }
}

void UsageSharing::RequestUpdates() {
  const base::Time now = clock_();
  if (holder_() != options_.instance || now < request_at_) {
    return;
  }
  request_at_ = now + options_.request_period;
  for (const InstancePeer& it : presence_.Peers()) {
    const auto sender = senders_.find(it.instance);
    const bool silent = sender == senders_.end() ||
                        now - sender->second.heard >=
                            std::max(options_.request_period, 2 * Period());
    if (silent && it.instance != options_.instance) {
      datagrams_.Send(it, DatagramKind::kUsageRequest, {});
    }
  }
}

bool UsageSharing::SendUpdate(const InstancePeer& to, bool even_empty) {
  // Processes that still run send their rows themselves.
  std::set<OriginId> running;
  for (const auto& [instance, sender] : senders_) {
    if (clock_() - sender.heard <= 2 * options_.max_period) {
      running.insert(sender.origin);
    }
  }
  const auto wanted = [&](const OriginId& origin) {
    return origin == options_.origin || !running.contains(origin);
  };
  UsageUpdate update;
  update.origin = options_.origin;
  update.time = fleet_clock_.OwnNow();
  std::string bytes;
  // Long names take more room than the usual number of rows has.
  for (std::size_t limit = kMaxUpdateRows; limit > 0; limit /= 2) {
    update.rows = table_.ChangedAfter(collectors_[to.instance].acknowledged,
                                      limit, wanted, &update.change);
    bytes = EncodeUsageUpdate(update);
    if (bytes.size() <= kMaxUpdateBytes) {
      break;
    }
  }
  if (update.rows.empty() && !even_empty) {
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

// A collector that has restarted has lost its table. What is left is sent at
// once: a new holder has little time to learn everything.
bool UsageSharing::HandleAck(const InstancePeer& from, std::string_view bytes) {
  const auto ack = DecodeUsageAck(bytes);
  if (!ack) {
    return false;
  }
  fleet_clock_.AddEstimate(from.instance, ack->time, ack->clocks);
  Collector& collector = collectors_[from.instance];
  const bool restarted =
      !collector.origin.empty() && collector.origin != ack->origin;
  collector.origin = ack->origin;
  if (restarted) {
    collector.acknowledged = ChangeNumber();
  } else if (ack->change > collector.acknowledged) {
    collector.acknowledged = ack->change;
  } else {
    return true;
  }
  SendUpdate(from, /*even_empty=*/false);
  return true;
}

bool UsageSharing::HandleRequest(const InstancePeer& from) {
  requested_at_[from.instance] = clock_();
  return true;
}

double UsageSharing::MissingPart(base::Time end, base::Duration length) const {
  const base::Time now = clock_();
  std::map<base::InstanceId, base::Time> heard;
  for (const InstancePeer& it : presence_.Peers()) {
    heard[it.instance] = base::Time();
  }
  for (const auto& [instance, sender] : senders_) {
    if (heard.contains(instance) ||
        now - sender.heard <= options_.isolated_time) {
      heard[instance] = sender.heard;
    }
  }
  heard[options_.instance] = now;
  const double missing = std::accumulate(
      heard.begin(), heard.end(), 0.0, [&](double sum, const auto& it) {
        return sum + std::clamp(base::ToFineMillis(end - it.second) /
                                    base::ToFineMillis(length),
                                0.0, 1.0);
      });
  return missing / static_cast<double>(heard.size());
}

}  // namespace lynxglade::process::usage
