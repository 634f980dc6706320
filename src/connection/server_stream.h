// One accepted connection of HttpServer, plain or TLS, with limits on size and
// time of reads and writes. Private to http_server.cc.
//
// The HTTP library bounds neither size nor time of heads and chunked bodies.
// Here the complete head is read within its limits before the library parses
// it.
#ifndef LYNXGLADE_CONNECTION_SERVER_STREAM_H_
#define LYNXGLADE_CONNECTION_SERVER_STREAM_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <httplib.h>

#include "base/time.h"
#include "connection/tls_material.h"

namespace lynxglade::connection {

struct ServerStreamLimits {
  std::size_t max_head_bytes = 0;
  std::size_t max_header_lines = 0;
  // As sent, including chunk framing.
  std::size_t max_body_bytes = 0;
  base::Duration handshake_timeout{};
  base::Duration head_timeout{};
  base::Duration body_timeout{};
  // Bounds one write; large pieces get more time (kMinBytesPerSecond).
  base::Duration write_timeout{};
};

// Used by one thread, except PeerClosed(). Lower-case names are those of
// httplib::Stream.
class ServerStream final : public httplib::Stream {
 public:
  // Result of reading a head or a body.
  enum class Verdict { kGood, kClosed, kTooLarge, kTooSlow };

  // Does not own the socket; makes it non-blocking.
  ServerStream(socket_t socket, const ServerStreamLimits& limits);
  ~ServerStream() override;

  // Does the TLS handshake. Returns false if it fails or times out.
  bool Handshake(const TlsMaterial::ContextPtr& context);

  // Waits for the first byte of a request. `should_stop` is polled a few times
  // per second. Returns false on timeout, error or if `should_stop` returned
  // true.
  bool AwaitRequest(base::Duration timeout,
                    const std::function<bool()>& should_stop);
  // Reads the complete head and buffers it for the HTTP library.
  Verdict ReadHead();
  // Whether the caller closed the connection or its sending side. Thread-safe;
  // works with and without TLS.
  bool PeerClosed() const;
  // Result of reading the body so far.
  Verdict body_verdict() const noexcept { return body_verdict_; }

  // Shuts down the sending side and discards further input for at most
  // `timeout`, so that a reset does not destroy the last answer.
  void CloseWithLinger(base::Duration timeout);

  // --- httplib::Stream
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  using SslPtr = std::unique_ptr<SSL, decltype(&SSL_free)>;

  // The next four return the byte count, 0 if the connection was closed or
  // failed, or -1 if the deadline passed.
  ssize_t Receive(char* ptr, std::size_t size, SteadyTime deadline);
  ssize_t ReceivePlain(char* ptr, std::size_t size, SteadyTime deadline);
  ssize_t ReceiveTls(char* ptr, std::size_t size, SteadyTime deadline);
  ssize_t SendSome(const char* ptr, std::size_t size, SteadyTime deadline);
  // Waits until the TLS operation can continue. Returns false on an error or if
  // the deadline passed.
  bool WaitForTls(int result, SteadyTime deadline, bool* timed_out);
  bool WaitFor(short events, SteadyTime deadline) const;
  bool HasInput() const;
  // Hides a Range header from the HTTP library, which would match it by a
  // recursive regular expression and truncate the answer.
  void HideRange(std::size_t head_size);

  const socket_t socket_;
  const ServerStreamLimits limits_;
  SslPtr ssl_;
  // Received bytes, read by the HTTP library up to input_read_.
  std::string input_;
  std::size_t input_read_ = 0;
  // Bytes of the head that the HTTP library has not read yet.
  std::size_t head_left_ = 0;
  std::size_t body_bytes_ = 0;
  SteadyTime body_deadline_{};
  Verdict body_verdict_ = Verdict::kGood;
  bool broken_ = false;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_SERVER_STREAM_H_
