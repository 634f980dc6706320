// Message links between instances: binary messages over WebSocket.
//
// PeerLinks listens, dials and transports opaque messages. Its owner decides
// which peers to dial and when to redial, and interprets the messages. The
// first message in each direction is a hello message; other messages are passed
// to the owner only after it accepted the peer's hello.
//
// This header is compiled as C++17 and as C++20 and names no library type,
// because the WebSocket library does not compile as C++20.
#ifndef LYNXGLADE_CONNECTION_PEER_LINK_H_
#define LYNXGLADE_CONNECTION_PEER_LINK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lynxglade::connection {

// Identifies a link; not reused during the lifetime of a PeerLinks.
using PeerLinkId = std::uint64_t;

// Identity in the peer's certificate; only available with TLS.
struct PeerIdentity {
  std::string zone;
  std::string role;
};

// PEM files for mutual TLS. Plain TCP if certificate_file is empty.
struct PeerLinkTls {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;

  bool enabled() const noexcept { return !certificate_file.empty(); }
};

struct PeerLinkOptions {
  // IP address to listen on.
  std::string address = "127.0.0.1";
  // 0 selects a free port.
  int port = 0;
  PeerLinkTls tls;
  // Further incoming links are rejected during the WebSocket handshake, further
  // dials fail.
  std::size_t max_links = 256;
  // Limit on accepted connections with an incomplete TLS or WebSocket
  // handshake; further ones are closed at once.
  std::size_t max_handshakes = 128;
  // Limit on the send queue of one link. Beyond it the oldest droppable
  // messages are dropped; the link is closed if that is not enough.
  std::size_t max_queue_bytes = 512u << 10;
  // A link is closed if the peer's hello does not arrive within this time.
  std::chrono::milliseconds hello_timeout{3000};
};

// Called on the I/O thread, except make_hello, which Start() calls. Must not
// block.
struct PeerLinkHooks {
  // Returns the hello message to send to peers. `port` is the listening port.
  std::function<std::string(int port)> make_hello;
  // Checks the peer's hello. Returns the reason to reject it, or an empty
  // string to accept it. `identity` is null without TLS.
  std::function<std::string(const std::string& hello,
                            const PeerIdentity* identity)>
      check_hello;
  // Called when the peer's hello was accepted; the link can be used from then
  // on.
  std::function<void(PeerLinkId, bool dialled, const std::string& hello)> on_up;
  // Called once when a link that was up has closed or a dial failed. `reason`
  // is for logs.
  std::function<void(PeerLinkId, const std::string& reason)> on_down;
  std::function<void(PeerLinkId, const std::string& message)> on_message;
};

// Whether a message may be dropped when the send queue is full.
enum class PeerMessageClass { kKeep, kDroppable };

// Totals since Start().
struct PeerLinkCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_dropped = 0;
  std::uint64_t links_refused = 0;
};

enum class PeerLinkError {
  kNone,
  kListen,
  // A TLS file is missing or invalid.
  kCertificate,
};

// Thread-safe. Owns one I/O thread between Start() and Stop().
class PeerLinks {
 public:
  PeerLinks(PeerLinkOptions options, PeerLinkHooks hooks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Starts to listen, and the I/O thread. Call once.
  bool Start(PeerLinkError* last_error);
  // Closes all links without calling on_down and joins the thread. Idempotent.
  void Stop();

  // Starts to dial; the result is reported by on_up or on_down.
  PeerLinkId Dial(const std::string& address, int port);
  // Queues a message. No effect if the link is not up.
  void Send(PeerLinkId link, std::string message, PeerMessageClass cls);
  // Closes a link that is up or being dialled. `reason` is sent to the peer.
  void Close(PeerLinkId link, const std::string& reason);
  // Reloads the TLS files, for new links only. On failure returns false and
  // keeps the previous ones. Without TLS returns true and has no effect.
  bool ReloadTls();

  int port() const noexcept;
  PeerLinkCounters counters() const;

  // Implementation over plain TCP or TLS.
  class Transport;

 private:
  std::unique_ptr<Transport> transport_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PEER_LINK_H_
