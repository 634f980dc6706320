// One accepted connection of HttpServer: reading and writing under bounds on
// bytes and time, plain or under TLS. Private to http_server.cc.
//
// The library reads a request's head without a bound on its size or time, and
// a chunked body likewise. Here the whole head is read first, within its
// bounds, and only then handed to the library.
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
  // On the wire, so chunk framing included.
  std::size_t max_body_bytes = 0;
  base::Duration handshake_timeout{};
  base::Duration head_timeout{};
  base::Duration body_timeout{};
  // Without progress; large pieces get longer by the least rate.
  base::Duration write_timeout{};
};

// The library's interface has lower-case names. Used by one thread.
class ServerStream final : public httplib::Stream {
 public:
  // What a head or a body came to.
  enum class Verdict { kGood, kClosed, kTooLarge, kTooSlow };

  // Does not own the socket; makes it non-blocking.
  ServerStream(socket_t socket, const ServerStreamLimits& limits);
  ~ServerStream() override;

  // TLS from here on. False when it fails or takes too long.
  bool Handshake(const TlsMaterial::ContextPtr& context);

  // Waits for the first byte of a request; asks `give_up` a few times a
  // second. False when the wait ended otherwise.
  bool AwaitRequest(base::Duration timeout,
                    const std::function<bool()>& give_up);
  // Reads up to the end of the head and keeps it for the library.
  Verdict ReadHead();
  // Whether the caller has closed its end, or at least its sending side.
  // Thread-safe; works with and without TLS.
  bool PeerClosed() const;
  // What became of the body so far.
  Verdict body_verdict() const noexcept { return body_verdict_; }

  // Ends the sending side and takes what the caller still sends, for a short
  // while, so that the last answer is not lost to a reset.
  void CloseGently(base::Duration patience);

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

  // The three below: the count, 0 when the peer closed or the connection
  // broke, -1 when the deadline passed.
  ssize_t Receive(char* ptr, std::size_t size, SteadyTime deadline);
  ssize_t ReceivePlain(char* ptr, std::size_t size, SteadyTime deadline);
  ssize_t ReceiveTls(char* ptr, std::size_t size, SteadyTime deadline);
  ssize_t SendSome(const char* ptr, std::size_t size, SteadyTime deadline);
  // Waits for what the TLS library wants; false on an error or the deadline.
  bool WaitForTls(int result, SteadyTime deadline, bool* timed_out);
  bool WaitFor(short events, SteadyTime deadline) const;
  bool HasInput() const;
  // Hides a Range header from the library, which would match it by a
  // recursive regular expression and cut the answer.
  void HideRange(std::size_t head_size);

  const socket_t socket_;
  const ServerStreamLimits limits_;
  SslPtr ssl_;
  // Received and not yet read by the library.
  std::string input_;
  std::size_t input_read_ = 0;
  // Bytes of the head that the library has not read.
  std::size_t head_left_ = 0;
  std::size_t body_bytes_ = 0;
  SteadyTime body_deadline_{};
  Verdict body_verdict_ = Verdict::kGood;
  bool broken_ = false;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_SERVER_STREAM_H_
