#include "process/peers/limit_sharing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxglade::process::peers {

namespace {

using request::passthrough::AnswerTimes;
using request::passthrough::Engine;
using request::passthrough::LimitStatement;
using request::passthrough::NamedLimit;

// Ages are rounded, and datagrams take different times: without a margin a
// change that closely follows another one would be taken for an older one.
constexpr base::Duration kOrderMargin = std::chrono::milliseconds(20);

}  // namespace

LimitSharing::LimitSharing(const request::passthrough::EngineTable& engines,
                           request::passthrough::SendLimits& limits,
                           const InstancePresence& presence,
                           PeerDatagrams& datagrams,
                           LimitSharingOptions options,
                           base::Clock clock,
                           base::RandomSource random)
    : engines_(engines),
      limits_(limits),
      presence_(presence),
      datagrams_(datagrams),
      options_(std::move(options)),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

void LimitSharing::Start() {
  datagrams_.SetHandler(DatagramKind::kLimits, [this](const InstancePeer& from,
                                                      std::string_view bytes) {
    return HandleUpdate(from, bytes);
  });
  datagrams_.CallPeriodically(options_.period, [this] { SendUpdates(); });
}

void LimitSharing::OnOwnChange(const Engine& engine, const AnswerTimes& times) {
  pending_[engine.entry.id] = {
      .times = times, .repeats_left = options_.repeats, .to_other_zones = true};
}

void LimitSharing::SendUpdates() {
  if (pending_.empty()) {
    return;
  }
  const base::Time now = clock_();
  std::vector<LimitReport> for_group;
  std::vector<LimitReport> for_others;
  for (auto& [target, pending] : pending_) {
    const auto engine = engines_.Find(target);
    const bool is_current =
        engine && now - pending.times.sent_at <= kMaxLimitReportAge;
    if (!is_current) {
      pending.repeats_left = 0;
      continue;
    }
    if (for_group.size() == kMaxLimitReports) {
      break;
    }
    --pending.repeats_left;
    for_group.push_back({.target = target,
                         .start_time = engine->entry.start_time,
                         .rate = engine->limit.named.rate(),
                         .sent_ago = now - pending.times.sent_at,
                         .received_ago = now - pending.times.received_at});
    if (pending.to_other_zones) {
      for_others.push_back(for_group.back());
    }
  }
  std::erase_if(pending_,
                [](const auto& it) { return it.second.repeats_left <= 0; });
  const auto group = SharingPeers(presence_.Peers(), options_.group);
  Send(group, for_group);
  Send(PeersOfOtherZones(group), for_others);
}

std::vector<InstancePeer> LimitSharing::PeersOfOtherZones(
    const std::vector<InstancePeer>& group) const {
  std::map<base::ZoneId, std::vector<InstancePeer>> by_zone;
  for (const InstancePeer& it : presence_.Peers()) {
    const bool is_told =
        it.instance == options_.group.instance ||
        std::ranges::find(group, it.instance, &InstancePeer::instance) !=
            group.end();
    if (!is_told) {
      by_zone[it.zone].push_back(it);
    }
  }
  std::vector<InstancePeer> chosen;
  for (auto& [zone, peers] : by_zone) {
    const std::size_t n =
        std::min(peers.size(), options_.instances_per_other_zone);
    for (std::size_t i = 0; i < n; ++i) {
      const std::size_t other =
          i + base::UniformBelow(random_, peers.size() - i);
      std::swap(peers[i], peers[other]);
      chosen.push_back(peers[i]);
    }
  }
  return chosen;
}

void LimitSharing::Send(const std::vector<InstancePeer>& peers,
                        const std::vector<LimitReport>& reports) {
  if (reports.empty()) {
    return;
  }
  const std::string bytes = EncodeLimits(reports);
  for (const InstancePeer& peer : peers) {
    datagrams_.Send(peer, DatagramKind::kLimits, bytes);
  }
}

bool LimitSharing::HandleUpdate(const InstancePeer& from,
                                std::string_view bytes) {
  const auto reports = DecodeLimits(bytes);
  if (!reports) {
    return false;
  }
  for (const LimitReport& it : *reports) {
    Apply(from, it);
  }
  return true;
}

void LimitSharing::Apply(const InstancePeer& from, const LimitReport& report) {
  const auto engine = engines_.Find(report.target);
  if (!engine || engine->entry.start_time != report.start_time) {
    return;
  }
  LimitStatement statement;
  if (report.rate) {
    statement.kind = LimitStatement::Kind::kNamed;
    statement.rate = *report.rate;
  }
  const base::Time now = clock_();
  const AnswerTimes times{
      .sent_at = now - report.sent_ago,
      .received_at = now - report.received_ago - kOrderMargin};
  const NamedLimit::Change change =
      limits_.Observe(*engine, statement, times, from.instance);
  if (change != NamedLimit::Change::kNone && from.zone != options_.group.zone) {
    pending_[report.target] = {.times = times,
                               .repeats_left = options_.repeats,
                               .to_other_zones = false};
  }
}

}  // namespace lynxglade::process::peers
