// Message links between instances: WebSocket over TCP, by IP number.
//
// PeerLinks listens, dials and carries opaque binary messages. It decides
// nothing: whom to dial, when to dial again and what a message means belong to
// its owner. The first message each way is a greeting that the owner judges;
// nothing else is handed over before it was accepted.
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

// Names one link for the life of a PeerLinks; never used again.
using PeerLinkId = std::uint64_t;

// What the peer's certificate says; only known under TLS.
struct PeerIdentity {
  std::string zone;
  std::string role;
};

// PEM files of mutual TLS; all empty means plain TCP.
struct PeerLinkTls {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;

  bool enabled() const noexcept { return !certificate_file.empty(); }
};

struct PeerLinkOptions {
  // IP number to listen on.
  std::string address = "127.0.0.1";
  // 0 takes any free port.
  int port = 0;
  PeerLinkTls tls;
  // Further links are refused before they cost more than a socket.
  std::size_t max_links = 256;
  // Accepted connections whose TLS and WebSocket handshakes are not over;
  // further ones are closed at once.
  std::size_t max_unproved = 128;
  // Bytes that wait for one slow peer; beyond it the oldest droppable message
  // goes first.
  std::size_t max_queue_bytes = 512u << 10;
  // A peer that has not greeted within this time is cut off.
  std::chrono::milliseconds hello_timeout{3000};
};

// Called on the I/O thread, one at a time; none may block.
struct PeerLinkHooks {
  // Makes the greeting once the listening port is known.
  std::function<std::string(int port)> make_hello;
  // Judges the peer's greeting; returns why it is refused, empty to accept.
  // `identity` is null without TLS.
  std::function<std::string(const std::string& hello,
                            const PeerIdentity* identity)>
      check_hello;
  // The link may be used from here on.
  std::function<void(PeerLinkId, bool dialled, const std::string& hello)> on_up;
  // Called once for each link that was up, and for each dialled link that
  // failed; `reason` is for logs.
  std::function<void(PeerLinkId, const std::string& reason)> on_down;
  std::function<void(PeerLinkId, const std::string& message)> on_message;
};

// Whether a message may be thrown away for a peer that does not keep up.
enum class PeerMessageClass { kKeep, kDroppable };

// Totals since the start.
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
  // A TLS file is missing or its content unusable.
  kCertificate,
};

// Thread-safe; owns one I/O thread between Start and Stop.
class PeerLinks {
 public:
  PeerLinks(PeerLinkOptions options, PeerLinkHooks hooks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Listens and starts the thread. Call once.
  bool Start(PeerLinkError* last_error);
  // Closes every link without on_down and joins the thread. Idempotent.
  void Stop();

  // Starts one attempt; its end is on_up or on_down.
  PeerLinkId Dial(const std::string& address, int port);
  // Queues a message; without effect when the link is not up.
  void Send(PeerLinkId link, std::string message, PeerMessageClass cls);
  // Closes a link that is up or being dialled; the peer is told the reason.
  void Close(PeerLinkId link, const std::string& reason);
  // Reads the TLS files again for links made from now on; on failure the
  // former ones stay. True and without effect without TLS.
  bool ReloadTls();

  int port() const noexcept;
  PeerLinkCounters counters() const;

  // The part that differs between plain TCP and TLS.
  class Transport;

 private:
  std::unique_ptr<Transport> transport_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PEER_LINK_H_
