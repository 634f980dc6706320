// Datagrams between the instances of a deployment: one socket for all kinds.
//
// For what is worthless if it comes late and is replaced by the next if it is
// lost, so nothing is sent again and no connection is kept. A datagram counts
// only if it comes from where the store says that an instance is.
#ifndef LYNXGLADE_PROCESS_PEER_DATAGRAMS_H_
#define LYNXGLADE_PROCESS_PEER_DATAGRAMS_H_

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
#include "process/instance_presence.h"

namespace lynxglade::process {

// The first byte of a datagram.
enum class DatagramKind : std::uint8_t {
  // What an instance has engines read (read_sharing).
  kReads = 1,
  // Retries asked for and lent (retry_loans).
  kLoanRequest = 2,
  kLoan = 3,
  // Targets that an instance avoids (avoidance_sharing).
  kAvoided = 4,
};

// Not thread-safe: lives on the event loop.
class PeerDatagrams {
 public:
  // False if the bytes after the kind cannot be read.
  using Handler =
      std::function<bool(const InstancePeer& from, std::string_view body)>;

  PeerDatagrams(connection::event::asio::io_context& loop,
                const InstancePresence& presence,
                connection::event::asio::ip::udp::endpoint endpoint,
                base::Metrics& metrics);
  PeerDatagrams(const PeerDatagrams&) = delete;
  PeerDatagrams& operator=(const PeerDatagrams&) = delete;

  // Takes the datagrams of a kind, in place of an earlier handler.
  void Handle(DatagramKind kind, Handler handler);
  // False, with a reason, if the port cannot be had.
  bool Start(std::string* reason);
  bool is_open() const noexcept { return socket_.is_open(); }
  // One that cannot be sent at once is dropped.
  void Send(const InstancePeer& to, DatagramKind kind, std::string_view body);
  // Calls `tell` at once and then every `period`, while the socket is open.
  void Repeat(base::Duration period, std::function<void()> tell);

 private:
  connection::event::Awaitable<void> Hear();
  connection::event::Awaitable<void> Tell(base::Duration period,
                                          std::function<void()> tell);
  void Take(std::string_view datagram);
  void Count(const char* outcome);

  connection::event::asio::io_context& loop_;
  const InstancePresence& presence_;
  const connection::event::asio::ip::udp::endpoint endpoint_;
  base::Metrics& metrics_;
  std::map<DatagramKind, Handler> handlers_;
  connection::event::asio::ip::udp::socket socket_;
  connection::event::asio::ip::udp::endpoint sender_;
  // Larger than any datagram that is sent.
  std::array<char, 4096> buffer_{};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_PEER_DATAGRAMS_H_
