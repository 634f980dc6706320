// Sends and receives UDP datagrams between instances over one socket.
//
// For messages that are useless when late and superseded by the next when lost:
// there is no retransmission. A datagram is accepted only if its source is the
// endpoint that an instance published in the store.
#ifndef LYNXGLADE_PROCESS_PEERS_PEER_DATAGRAMS_H_
#define LYNXGLADE_PROCESS_PEERS_PEER_DATAGRAMS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <boost/asio/ip/udp.hpp>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/http_types.h"
#include "process/peers/instance_presence.h"

namespace lynxglade::process::peers {

// Message kind; the first byte of a datagram.
enum class DatagramKind : std::uint8_t {
  // Prefill work that an instance has at engines (prefill_sharing.h).
  kPrefills = 1,
  // Requests and loans of retry budget (retry_loans.h).
  kLoanRequest = 2,
  kLoan = 3,
  // Targets that an instance avoids (avoidance_sharing.h).
  kAvoided = 4,
  // Usage counts for their collectors, the answer, and a collector's request
  // for them (usage_sharing.h).
  kUsageUpdate = 5,
  kUsageAck = 6,
  kUsageRequest = 7,
  // Request limits that targets name (limit_sharing.h).
  kLimits = 8,
  // Marks of the quarantine, and a request for them (quarantine_sharing.h).
  kMarks = 9,
  kMarksRequest = 10,
  // Requests that an instance has served (share_sharing.h).
  kShares = 11,
};

// Not thread-safe: runs on the event loop.
class PeerDatagrams {
 public:
  // Handles the bytes after the kind; returns false if they are malformed.
  using Handler =
      std::function<bool(const InstancePeer& from, std::string_view body)>;

  PeerDatagrams(connection::event::asio::io_context& loop,
                const InstancePresence& presence,
                connection::event::asio::ip::udp::endpoint endpoint,
                base::Metrics& metrics);
  PeerDatagrams(const PeerDatagrams&) = delete;
  PeerDatagrams& operator=(const PeerDatagrams&) = delete;

  // Sets the handler of a kind, replacing an earlier one.
  void SetHandler(DatagramKind kind, Handler handler);
  // Opens the socket and starts to receive. Returns false and sets `*reason` if
  // the endpoint cannot be bound.
  bool Start(std::string* reason);
  bool is_open() const noexcept { return socket_.is_open(); }
  // Sends without blocking; a datagram that cannot be sent at once is dropped.
  void Send(const InstancePeer& to, DatagramKind kind, std::string_view body);
  // Calls `callback` at once and then every `period` while the socket is open.
  void CallPeriodically(base::Duration period, std::function<void()> callback);

 private:
  connection::event::Awaitable<void> ReceiveLoop();
  connection::event::Awaitable<void> PeriodicLoop(
      base::Duration period,
      std::function<void()> callback);
  void Dispatch(std::string_view datagram);
  void CountOutcome(const char* outcome);

  connection::event::asio::io_context& loop_;
  const InstancePresence& presence_;
  const connection::event::asio::ip::udp::endpoint endpoint_;
  base::Metrics& metrics_;
  std::map<DatagramKind, Handler> handlers_;
  connection::event::asio::ip::udp::socket socket_;
  connection::event::asio::ip::udp::endpoint sender_;
  // Larger than any datagram that instances send.
  std::array<char, 4096> buffer_{};
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_PEER_DATAGRAMS_H_
