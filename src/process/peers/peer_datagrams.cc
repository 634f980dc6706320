#include "process/peers/peer_datagrams.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "connection/event/sleep.h"
#include "connection/event/tasks.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::SleepFor;
using connection::event::SpawnPermanent;
namespace asio = connection::event::asio;

}  // namespace

PeerDatagrams::PeerDatagrams(asio::io_context& loop,
                             const InstancePresence& presence,
                             asio::ip::udp::endpoint endpoint,
                             base::Metrics& metrics)
    : loop_(loop),
      presence_(presence),
      endpoint_(std::move(endpoint)),
      metrics_(metrics),
      socket_(loop) {}

void PeerDatagrams::SetHandler(DatagramKind kind, Handler handler) {
  handlers_[kind] = std::move(handler);
}

bool PeerDatagrams::Start(std::string* reason) {
  ErrorCode ec;
  std::ignore = socket_.open(endpoint_.protocol(), ec);
  if (!ec) {
    std::ignore = socket_.bind(endpoint_, ec);
  }
  if (!ec) {
    std::ignore = socket_.non_blocking(true, ec);
  }
  if (ec) {
    *reason = ec.message();
    return false;
  }
  SpawnPermanent(loop_, "peer_datagrams", [this] { return ReceiveLoop(); });
  return true;
}

void PeerDatagrams::Send(const InstancePeer& to,
                         DatagramKind kind,
                         std::string_view body) {
  const auto first = static_cast<char>(kind);
  const std::array<asio::const_buffer, 2> parts{asio::buffer(&first, 1),
                                                asio::buffer(body)};
  ErrorCode ec;
  socket_.send_to(parts, to.endpoint, 0, ec);
  CountOutcome(ec ? "not_sent" : "sent");
}

void PeerDatagrams::CallPeriodically(base::Duration period,
                                     std::function<void()> callback) {
  SpawnPermanent(loop_, "peer_period", [this, period, callback] {
    return PeriodicLoop(period, callback);
  });
}

Awaitable<void> PeerDatagrams::PeriodicLoop(base::Duration period,
                                            std::function<void()> callback) {
  while (socket_.is_open()) {
    callback();
    co_await SleepFor(loop_, period);
  }
}

Awaitable<void> PeerDatagrams::ReceiveLoop() {
  // Keeps a persistent socket error from spinning the event loop.
  constexpr base::Duration kErrorBackoff = std::chrono::milliseconds(100);
  while (socket_.is_open()) {
    ErrorCode ec;
    const std::size_t n = co_await socket_.async_receive_from(
        asio::buffer(buffer_), sender_, Into(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      co_await SleepFor(loop_, kErrorBackoff);
      continue;
    }
    Dispatch(std::string_view(buffer_.data(), n));
  }
}

void PeerDatagrams::Dispatch(std::string_view datagram) {
  const auto& peers = presence_.Peers();
  const auto peer = std::ranges::find(peers, sender_, &InstancePeer::endpoint);
  if (peer == peers.end()) {
    CountOutcome("from_unknown");
    return;
  }
  const auto handler =
      datagram.empty()
          ? handlers_.end()
          : handlers_.find(static_cast<DatagramKind>(datagram.front()));
  if (handler == handlers_.end()) {
    CountOutcome("of_no_kind");
    return;
  }
  const bool handled = handler->second(*peer, datagram.substr(1));
  CountOutcome(handled ? "heard" : "malformed");
}

void PeerDatagrams::CountOutcome(const char* outcome) {
  metrics_.GetCounter("lynxglade_peer_datagrams_total", {{"outcome", outcome}})
      .Add();
}

}  // namespace lynxglade::process::peers
