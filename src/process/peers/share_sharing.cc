#include "process/peers/share_sharing.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using connection::CborWhole;
using nlohmann::json;
using request::passthrough::kSizeClasses;
using request::passthrough::RouteKey;
using request::passthrough::RouteShares;
using request::passthrough::ShareCount;

constexpr std::uint64_t kVersion = 1;
// Routes in one report; further ones are left out.
constexpr std::size_t kMaxRoutes = 60;
constexpr std::size_t kRowElements = 1 + 2 * kSizeClasses;
constexpr connection::CborLimits kLimits{
    .max_bytes = 4096,
    .max_depth = 2,
    .max_elements = (kRowElements + 1) * kMaxRoutes + 2};
constexpr std::uint64_t kMaxHundredths = 1'000'000'000;
constexpr double kHundredths = 100;

std::uint64_t ToHundredths(double count) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(
      kHundredths * count, 0.0, static_cast<double>(kMaxHundredths))));
}

std::optional<double> ParseCount(const json& value) {
  const auto hundredths = CborWhole(value, kMaxHundredths);
  if (!hundredths) {
    return std::nullopt;
  }
  return static_cast<double>(*hundredths) / kHundredths;
}

std::optional<RouteShares> ParseRow(const json& row) {
  if (!row.is_array() || row.size() != kRowElements) {
    return std::nullopt;
  }
  const auto key = CborWhole(row[0], std::numeric_limits<RouteKey>::max());
  if (!key) {
    return std::nullopt;
  }
  RouteShares shares{static_cast<RouteKey>(*key), {}};
  for (std::size_t i = 0; i < kSizeClasses; ++i) {
    const auto seen = ParseCount(row[1 + 2 * i]);
    const auto served = ParseCount(row[2 + 2 * i]);
    if (!seen || !served || *served > *seen) {
      return std::nullopt;
    }
    shares.counts[i] = {*seen, *served};
  }
  return shares;
}

// Moves up to `n` of the peers, chosen at random, to the front.
void DrawFirst(std::vector<InstancePeer>& peers,
               std::size_t n,
               const base::RandomSource& random) {
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(peers[i],
              peers[i + base::UniformBelow(random, peers.size() - i)]);
  }
}

}  // namespace

std::string EncodeShares(const std::vector<RouteShares>& shares) {
  json report = json::array({kVersion});
  const std::size_t n = std::min(shares.size(), kMaxRoutes);
  std::for_each_n(shares.begin(), n, [&report](const RouteShares& it) {
    json row = json::array({it.route});
    for (const ShareCount& count : it.counts) {
      row.push_back(ToHundredths(count.seen));
      row.push_back(ToHundredths(count.served));
    }
    report.push_back(std::move(row));
  });
  return connection::EncodeCbor(report);
}

std::optional<std::vector<RouteShares>> DecodeShares(std::string_view bytes) {
  const auto report = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!report || report->size() > kMaxRoutes + 1) {
    return std::nullopt;
  }
  std::vector<RouteShares> shares;
  for (std::size_t i = 1; i < report->size(); ++i) {
    const auto row = ParseRow((*report)[i]);
    if (!row) {
      return std::nullopt;
    }
    shares.push_back(*row);
  }
  return shares;
}

ShareSharing::ShareSharing(request::passthrough::ServedShares& shares,
                           PeerDatagrams& datagrams,
                           std::function<std::vector<InstancePeer>()> peers,
                           ShareSharingOptions options,
                           base::Clock clock,
                           base::RandomSource random)
    : shares_(shares),
      datagrams_(datagrams),
      peers_(std::move(peers)),
      options_(options),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

void ShareSharing::Start() {
  datagrams_.SetHandler(DatagramKind::kShares, [this](const InstancePeer& from,
                                                      std::string_view bytes) {
    return HandleReport(from, bytes);
  });
  datagrams_.CallPeriodically(options_.period, [this] { SendReport(); });
}

void ShareSharing::SendReport() {
  const std::vector<RouteShares> own = shares_.Own(clock_());
  std::vector<InstancePeer> peers = peers_();
  if (own.empty() || peers.empty()) {
    return;
  }
  const std::size_t n = std::min(peers.size(), options_.max_receivers);
  DrawFirst(peers, n, random_);
  const std::string bytes = EncodeShares(own);
  std::for_each_n(peers.begin(), n, [&](const InstancePeer& peer) {
    datagrams_.Send(peer, DatagramKind::kShares, bytes);
  });
}

bool ShareSharing::HandleReport(const InstancePeer& from,
                                std::string_view bytes) {
  const auto shares = DecodeShares(bytes);
  if (!shares) {
    return false;
  }
  shares_.Put(from.instance, *shares, clock_());
  return true;
}

}  // namespace lynxglade::process::peers
