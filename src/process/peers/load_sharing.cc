#include "process/peers/load_sharing.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using connection::CborWhole;
using nlohmann::json;
using request::passthrough::EngineKey;
using request::passthrough::PeerLoad;

constexpr std::uint64_t kVersion = 1;
// Reports in one message; further ones are left out.
constexpr std::size_t kMaxReports = 100;
constexpr std::size_t kRowParts = 5;
constexpr std::uint64_t kMaxLoad = 1'000'000;
constexpr std::uint64_t kMaxAgeMs = 60'000;
constexpr connection::CborLimits kLimits{
    .max_bytes = 4096,
    .max_depth = 2,
    .max_elements = (kRowParts + 1) * kMaxReports + 2};

std::optional<PeerLoad> ParseRow(const json& row) {
  if (!row.is_array() || row.size() != kRowParts) {
    return std::nullopt;
  }
  const auto engine = CborWhole(row[0], std::numeric_limits<EngineKey>::max());
  const auto running = CborWhole(row[1], kMaxLoad);
  const auto waiting = CborWhole(row[2], kMaxLoad);
  const auto slots = CborWhole(row[3], kMaxLoad);
  const auto age = CborWhole(row[4], kMaxAgeMs);
  if (!engine || !running || !waiting || !slots || !age) {
    return std::nullopt;
  }
  PeerLoad load;
  load.engine = static_cast<EngineKey>(*engine);
  load.load.running = static_cast<int>(*running);
  load.load.waiting = static_cast<int>(*waiting);
  load.load.slots = static_cast<int>(*slots);
  load.age = std::chrono::milliseconds(*age);
  return load;
}

std::uint64_t Bounded(std::int64_t n, std::uint64_t high) {
  return static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(n, 0, static_cast<std::int64_t>(high)));
}

}  // namespace

std::string EncodeLoads(const std::vector<PeerLoad>& loads) {
  json message = json::array({kVersion});
  const std::size_t n = std::min(loads.size(), kMaxReports);
  std::for_each_n(loads.begin(), n, [&message](const PeerLoad& it) {
    message.push_back({it.engine, Bounded(it.load.running, kMaxLoad),
                       Bounded(it.load.waiting, kMaxLoad),
                       Bounded(it.load.slots, kMaxLoad),
                       Bounded(base::ToMillis(it.age), kMaxAgeMs)});
  });
  return connection::EncodeCbor(message);
}

std::optional<std::vector<PeerLoad>> DecodeLoads(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() > kMaxReports + 1) {
    return std::nullopt;
  }
  std::vector<PeerLoad> loads;
  for (std::size_t i = 1; i < message->size(); ++i) {
    const auto row = ParseRow((*message)[i]);
    if (!row) {
      return std::nullopt;
    }
    loads.push_back(*row);
  }
  return loads;
}

LoadSharing::LoadSharing(const request::passthrough::EngineTable& engines,
                         PeerDatagrams& datagrams,
                         std::function<std::vector<InstancePeer>()> peers,
                         LoadSharingOptions options,
                         base::Clock clock)
    : engines_(engines),
      datagrams_(datagrams),
      peers_(std::move(peers)),
      options_(options),
      clock_(std::move(clock)) {}

void LoadSharing::Start() {
  datagrams_.SetHandler(DatagramKind::kLoads,
                        [this](const InstancePeer&, std::string_view bytes) {
                          return HandleReports(bytes);
                        });
  datagrams_.CallPeriodically(options_.period, [this] { SendReports(); });
}

void LoadSharing::SendReports() {
  const base::Time now = clock_();
  const auto loads = OwnLoads(engines_, std::exchange(sent_at_, now), now);
  if (loads.empty()) {
    return;
  }
  const auto peers = peers_();
  if (peers.size() > options_.max_peers) {
    return;
  }
  const std::string bytes = EncodeLoads(loads);
  for (const InstancePeer& peer : peers) {
    datagrams_.Send(peer, DatagramKind::kLoads, bytes);
  }
}

bool LoadSharing::HandleReports(std::string_view bytes) {
  const auto loads = DecodeLoads(bytes);
  if (!loads) {
    return false;
  }
  ApplyPeerLoads(engines_, *loads, clock_());
  return true;
}

}  // namespace lynxglade::process::peers
