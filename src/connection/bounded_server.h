// httplib::Server whose connections use ServerStream, with its limits and
// optional TLS. Private to http_server.cc.
#ifndef LYNXGLADE_CONNECTION_BOUNDED_SERVER_H_
#define LYNXGLADE_CONNECTION_BOUNDED_SERVER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include <httplib.h>

#include "connection/connection_threads.h"
#include "connection/http_server.h"
#include "connection/server_stream.h"

namespace lynxglade::connection {

// Handlers find a request's Content-Type under this name. It is hidden from the
// HTTP library, which would parse forms itself and leave the body empty.
inline constexpr char kHiddenContentType[] = "X-Lynxglade-Content-Type";

class BoundedServer final : public httplib::Server {
 public:
  // `options` and `threads` must outlive this object.
  BoundedServer(const HttpServerOptions& options, ConnectionThreads& threads);

  // Rejects bodies with ambiguous framing or a content coding, which the HTTP
  // library does not handle safely. Returns the status of the error, or 0.
  static int CheckHead(const httplib::Request& head);

  // --- For handlers, on a connection's thread.

  // The connection served by this thread.
  static const ServerStream& CurrentStream();
  // Closes this thread's connection after the current answer.
  static void CloseAfterAnswer();
  // The status for this thread's request if its body could not be read, else
  // `status`.
  static int StatusOfBody(int status);

  HttpServerCounters counters() const noexcept;
  void CountRefusedHead() noexcept { ++heads_refused_; }

 private:
  // Overrides the library's method.
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool process_and_close_socket(socket_t sock) override;
  void Serve(socket_t sock);
  void ServeRequests(ServerStream& stream);
  // Returns whether the connection may carry another request.
  bool ServeOne(ServerStream& stream, bool last);
  bool AwaitNext(ServerStream& stream, bool first) const;
  void RejectHead(ServerStream& stream, ServerStream::Verdict verdict);
  void CountBody(ServerStream::Verdict verdict) noexcept;
  ServerStreamLimits Limits() const;

  const HttpServerOptions& options_;
  ConnectionThreads& threads_;
  std::atomic<std::uint64_t> handshakes_failed_{0};
  std::atomic<std::uint64_t> heads_too_large_{0};
  std::atomic<std::uint64_t> heads_too_slow_{0};
  std::atomic<std::uint64_t> bodies_too_large_{0};
  std::atomic<std::uint64_t> bodies_too_slow_{0};
  std::atomic<std::uint64_t> heads_refused_{0};
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_BOUNDED_SERVER_H_
