#include "process/peers/prefill_sharing.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using connection::CborWhole;
using nlohmann::json;
using request::passthrough::EngineKey;
using request::passthrough::PeerPrefill;

constexpr std::uint64_t kReportVersion = 1;
// Prefills in one report; further ones are left out.
constexpr std::size_t kMaxPrefills = 200;
constexpr connection::CborLimits kLimits{.max_bytes = 4096,
                                         .max_depth = 2,
                                         .max_elements = 4 * kMaxPrefills + 2};
constexpr std::uint64_t kMaxPriority = 1'000'000;
constexpr std::uint64_t kMaxTokens = 1'000'000'000;

std::optional<PeerPrefill> ParseRow(const json& row) {
  if (!row.is_array() || row.size() != 3) {
    return std::nullopt;
  }
  const auto engine = CborWhole(row[0], std::numeric_limits<EngineKey>::max());
  const auto priority = CborWhole(row[1], kMaxPriority);
  const auto tokens = CborWhole(row[2], kMaxTokens);
  if (!engine || !priority || !tokens) {
    return std::nullopt;
  }
  return PeerPrefill{static_cast<EngineKey>(*engine),
                     static_cast<int>(*priority),
                     static_cast<std::int64_t>(*tokens)};
}

}  // namespace

std::string EncodePrefills(const std::vector<PeerPrefill>& prefills) {
  json report = json::array({kReportVersion});
  const std::size_t n = std::min(prefills.size(), kMaxPrefills);
  std::for_each_n(prefills.begin(), n, [&report](const PeerPrefill& it) {
    report.push_back({it.engine, static_cast<std::uint64_t>(it.priority),
                      static_cast<std::uint64_t>(it.prefill_tokens)});
  });
  const auto bytes = json::to_cbor(report);
  return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<PeerPrefill>> DecodePrefills(std::string_view bytes) {
  const auto report =
      connection::DecodeVersioned(bytes, kLimits, kReportVersion);
  if (!report || report->size() > kMaxPrefills + 1) {
    return std::nullopt;
  }
  std::vector<PeerPrefill> prefills;
  for (std::size_t i = 1; i < report->size(); ++i) {
    const auto read = ParseRow((*report)[i]);
    if (!read) {
      return std::nullopt;
    }
    prefills.push_back(*read);
  }
  return prefills;
}

std::vector<InstancePeer> SharingPeers(const std::vector<InstancePeer>& all,
                                       const PrefillSharingOptions& options) {
  const bool cross_zone = all.size() <= options.max_cross_zone_instances;
  std::vector<InstancePeer> peers;
  std::ranges::copy_if(all, std::back_inserter(peers),
                       [&](const InstancePeer& it) {
                         return it.instance != options.instance &&
                                (cross_zone || it.zone == options.zone);
                       });
  return peers;
}

PrefillSharing::PrefillSharing(
    const request::passthrough::EngineTable& engines,
    const InstancePresence& presence,
    request::passthrough::PeerPrefills& peer_prefills,
    PeerDatagrams& datagrams,
    PrefillSharingOptions options,
    base::Clock clock)
    : engines_(engines),
      presence_(presence),
      peer_prefills_(peer_prefills),
      datagrams_(datagrams),
      options_(std::move(options)),
      clock_(std::move(clock)) {}

void PrefillSharing::Start() {
  datagrams_.SetHandler(
      DatagramKind::kPrefills,
      [this](const InstancePeer& from, std::string_view bytes) {
        return HandleReport(from, bytes);
      });
  datagrams_.CallPeriodically(options_.period, [this] { SendReport(); });
}

void PrefillSharing::SendReport() {
  const auto prefills = OwnPrefills(engines_);
  const bool reported_any = std::exchange(reported_any_, !prefills.empty());
  if (prefills.empty() && !reported_any) {
    return;
  }
  const auto peers = SharingPeers(presence_.Peers(), options_);
  if (!peers.empty()) {
    peer_prefills_.SetScale(
        std::max(1.0, static_cast<double>(presence_.Count() - 1) /
                          static_cast<double>(peers.size())));
  }
  const std::string bytes = EncodePrefills(prefills);
  for (const InstancePeer& peer : peers) {
    datagrams_.Send(peer, DatagramKind::kPrefills, bytes);
  }
}

bool PrefillSharing::HandleReport(const InstancePeer& from,
                                  std::string_view bytes) {
  const auto prefills = DecodePrefills(bytes);
  if (!prefills) {
    return false;
  }
  peer_prefills_.Put(from.instance, *prefills, clock_());
  return true;
}

}  // namespace lynxglade::process::peers
