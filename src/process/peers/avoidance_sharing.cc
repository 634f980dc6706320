#include "process/peers/avoidance_sharing.h"

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
using request::passthrough::AvoidedEngine;
using request::passthrough::EngineKey;

constexpr std::uint64_t kVersion = 1;
// Engines in one message; further ones are left out.
constexpr std::size_t kMaxEngines = 200;
constexpr std::uint64_t kMaxMillis = 60'000;
constexpr connection::CborLimits kLimits{.max_bytes = 4096,
                                         .max_depth = 2,
                                         .max_elements = 3 * kMaxEngines + 2};

std::optional<AvoidedEngine> ParseRow(const json& row) {
  if (!row.is_array() || row.size() != 2) {
    return std::nullopt;
  }
  const auto engine = CborWhole(row[0], std::numeric_limits<EngineKey>::max());
  const auto ms = CborWhole(row[1], kMaxMillis);
  if (!engine || !ms) {
    return std::nullopt;
  }
  return AvoidedEngine{static_cast<EngineKey>(*engine),
                       std::chrono::milliseconds(*ms)};
}

}  // namespace

std::string EncodeAvoided(const std::vector<AvoidedEngine>& avoided) {
  json message = json::array({kVersion});
  const std::size_t n = std::min(avoided.size(), kMaxEngines);
  std::for_each_n(avoided.begin(), n, [&message](const AvoidedEngine& it) {
    const auto ms = std::clamp<std::int64_t>(base::ToMillis(it.left), 0,
                                             std::int64_t{kMaxMillis});
    message.push_back({it.engine, static_cast<std::uint64_t>(ms)});
  });
  return connection::EncodeCbor(message);
}

std::optional<std::vector<AvoidedEngine>> DecodeAvoided(
    std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() > kMaxEngines + 1) {
    return std::nullopt;
  }
  std::vector<AvoidedEngine> avoided;
  for (std::size_t i = 1; i < message->size(); ++i) {
    const auto row = ParseRow((*message)[i]);
    if (!row) {
      return std::nullopt;
    }
    avoided.push_back(*row);
  }
  return avoided;
}

AvoidanceSharing::AvoidanceSharing(
    const request::passthrough::EngineTable& engines,
    request::passthrough::PeerAvoidance& avoidance,
    PeerDatagrams& datagrams,
    std::function<std::vector<InstancePeer>()> peers,
    AvoidanceSharingOptions options,
    base::Clock clock)
    : engines_(engines),
      avoidance_(avoidance),
      datagrams_(datagrams),
      peers_(std::move(peers)),
      options_(options),
      clock_(std::move(clock)) {}

void AvoidanceSharing::Start() {
  datagrams_.SetHandler(DatagramKind::kAvoided, [this](const InstancePeer& from,
                                                       std::string_view bytes) {
    return HandleUpdate(from, bytes);
  });
  datagrams_.CallPeriodically(options_.period, [this] { SendUpdates(); });
}

void AvoidanceSharing::SendUpdates() {
  const base::Time now = clock_();
  std::erase_if(sent_until_,
                [now](const auto& it) { return it.second <= now; });
  std::vector<AvoidedEngine> updates = OwnAvoided(engines_, now);
  std::erase_if(updates, [&](const AvoidedEngine& it) {
    const auto sent = sent_until_.find(it.engine);
    return sent != sent_until_.end() && sent->second >= now + it.left;
  });
  if (updates.empty()) {
    return;
  }
  const auto peers = peers_();
  if (peers.size() < options_.min_peers) {
    return;
  }
  std::ranges::for_each(updates, [&](const AvoidedEngine& it) {
    sent_until_[it.engine] = now + it.left;
  });
  const std::string bytes = EncodeAvoided(updates);
  for (const InstancePeer& peer : peers) {
    datagrams_.Send(peer, DatagramKind::kAvoided, bytes);
  }
}

bool AvoidanceSharing::HandleUpdate(const InstancePeer& from,
                                    std::string_view bytes) {
  const auto avoided = DecodeAvoided(bytes);
  if (!avoided) {
    return false;
  }
  avoidance_.Put(from.instance, *avoided, clock_());
  return true;
}

}  // namespace lynxglade::process::peers
