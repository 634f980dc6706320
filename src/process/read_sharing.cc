#include "process/read_sharing.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include "connection/event/sleep.h"

namespace lynxglade::process {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::SleepFor;
using nlohmann::json;
using request::passthrough::EngineKey;
using request::passthrough::PeerRead;
namespace asio = connection::event::asio;

constexpr std::uint64_t kReportVersion = 1;
// Of one report; an instance with more under way tells the first.
constexpr std::size_t kMaxReads = 200;
constexpr std::uint64_t kMaxPriority = 1'000'000;
constexpr std::uint64_t kMaxTokens = 1'000'000'000;

// Nothing if `value` is not a whole number up to `high`.
std::optional<std::uint64_t> Whole(const json& value, std::uint64_t high) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > high) {
    return std::nullopt;
  }
  return value.get<std::uint64_t>();
}

std::optional<PeerRead> ReadRow(const json& row) {
  if (!row.is_array() || row.size() != 3) {
    return std::nullopt;
  }
  const auto engine = Whole(row[0], std::numeric_limits<EngineKey>::max());
  const auto priority = Whole(row[1], kMaxPriority);
  const auto tokens = Whole(row[2], kMaxTokens);
  if (!engine || !priority || !tokens) {
    return std::nullopt;
  }
  return PeerRead{static_cast<EngineKey>(*engine), static_cast<int>(*priority),
                  static_cast<std::int64_t>(*tokens)};
}

}  // namespace

std::string EncodeReads(const std::vector<PeerRead>& reads) {
  json report = json::array({kReportVersion});
  const std::size_t n = std::min(reads.size(), kMaxReads);
  std::for_each_n(reads.begin(), n, [&report](const PeerRead& it) {
    report.push_back({it.engine, static_cast<std::uint64_t>(it.priority),
                      static_cast<std::uint64_t>(it.unread_tokens)});
  });
  const auto bytes = json::to_cbor(report);
  return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<PeerRead>> DecodeReads(std::string_view bytes) {
  const json report =
      json::from_cbor(bytes, /*strict=*/true, /*allow_exceptions=*/false);
  if (!report.is_array() || report.empty() || report.size() > kMaxReads + 1 ||
      Whole(report[0], kReportVersion) != kReportVersion) {
    return std::nullopt;
  }
  std::vector<PeerRead> reads;
  for (std::size_t i = 1; i < report.size(); ++i) {
    const auto read = ReadRow(report[i]);
    if (!read) {
      return std::nullopt;
    }
    reads.push_back(*read);
  }
  return reads;
}

std::vector<InstancePeer> SharingPeers(const std::vector<InstancePeer>& all,
                                       const ReadSharingOptions& options) {
  const bool everywhere = all.size() <= options.most_everywhere;
  std::vector<InstancePeer> peers;
  std::ranges::copy_if(all, std::back_inserter(peers),
                       [&](const InstancePeer& it) {
                         return it.instance != options.instance &&
                                (everywhere || it.zone == options.zone);
                       });
  return peers;
}

ReadSharing::ReadSharing(asio::io_context& loop,
                         const request::passthrough::EngineTable& engines,
                         const InstancePresence& presence,
                         request::passthrough::PeerReads& peer_reads,
                         ReadSharingOptions options,
                         base::Clock clock,
                         base::Metrics& metrics)
    : loop_(loop),
      engines_(engines),
      presence_(presence),
      peer_reads_(peer_reads),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics),
      socket_(loop) {}

bool ReadSharing::Start(std::string* reason) {
  ErrorCode ec;
  std::ignore = socket_.open(options_.endpoint.protocol(), ec);
  if (!ec) {
    std::ignore = socket_.bind(options_.endpoint, ec);
  }
  if (!ec) {
    std::ignore = socket_.non_blocking(true, ec);
  }
  if (ec) {
    *reason = ec.message();
    return false;
  }
  asio::co_spawn(loop_, Tell(), asio::detached);
  asio::co_spawn(loop_, Hear(), asio::detached);
  return true;
}

Awaitable<void> ReadSharing::Tell() {
  while (socket_.is_open()) {
    TellOnce();
    co_await SleepFor(loop_, options_.period);
  }
}

// A datagram that cannot be sent at once is dropped.
void ReadSharing::TellOnce() {
  const auto reads = OwnReads(engines_);
  const bool told_any = std::exchange(told_any_, !reads.empty());
  if (reads.empty() && !told_any) {
    return;
  }
  const auto peers = SharingPeers(presence_.Peers(), options_);
  if (!peers.empty()) {
    peer_reads_.SetScale(
        std::max(1.0, static_cast<double>(presence_.Count() - 1) /
                          static_cast<double>(peers.size())));
  }
  const std::string bytes = EncodeReads(reads);
  for (const InstancePeer& peer : peers) {
    ErrorCode ec;
    socket_.send_to(asio::buffer(bytes), peer.endpoint, 0, ec);
    Count(ec ? "not_sent" : "sent");
  }
}

Awaitable<void> ReadSharing::Hear() {
  // After an error that may last, so that the loop is not kept busy.
  constexpr base::Duration kPause = std::chrono::milliseconds(100);
  while (socket_.is_open()) {
    ErrorCode ec;
    const std::size_t n = co_await socket_.async_receive_from(
        asio::buffer(buffer_), sender_, Into(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      co_await SleepFor(loop_, kPause);
      continue;
    }
    Take(std::string_view(buffer_.data(), n));
  }
}

// Reports count only from where the store says that an instance is.
void ReadSharing::Take(std::string_view bytes) {
  const auto& peers = presence_.Peers();
  const auto peer = std::ranges::find(peers, sender_, &InstancePeer::endpoint);
  if (peer == peers.end()) {
    Count("from_unknown");
    return;
  }
  const auto reads = DecodeReads(bytes);
  if (!reads) {
    Count("malformed");
    return;
  }
  Count("heard");
  peer_reads_.Put(peer->instance, *reads, clock_());
}

void ReadSharing::Count(const char* outcome) {
  metrics_.GetCounter("lynxglade_read_reports_total", {{"outcome", outcome}})
      .Add();
}

}  // namespace lynxglade::process
