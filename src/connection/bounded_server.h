// The library's server with each connection under the bounds of
// server_stream.h, and under TLS where there is a certificate. Private to
// http_server.cc.
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

// Under this name a request's Content-Type reaches the handlers: the library
// would take forms apart by itself and leave the body empty.
inline constexpr char kHiddenContentType[] = "X-Lynxglade-Content-Type";

class BoundedServer final : public httplib::Server {
 public:
  // All must outlive this object.
  BoundedServer(const HttpServerOptions& options, ConnectionThreads& threads);

  // What the library cannot be trusted with: a body whose length is ambiguous
  // or that is compressed. The HTTP status, 0 when the head is good.
  static int JudgeHead(const httplib::Request& head);

  // --- For handlers, on a connection's thread.

  // This thread's connection.
  static const ServerStream& CurrentStream();
  // Closes this thread's connection after the answer under way.
  static void CloseAfterAnswer();
  // The status that fits this thread's request when its body could not be
  // read, else `status`.
  static int StatusOfBody(int status);

  HttpServerCounters counters() const noexcept;
  void CountRefusedHead() noexcept { ++heads_refused_; }

 private:
  // Overrides the library's, whose name is lower-case.
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool process_and_close_socket(socket_t sock) override;
  void Serve(socket_t sock);
  void ServeRequests(ServerStream& stream);
  // Whether the connection may take another request.
  bool ServeOne(ServerStream& stream, bool last);
  bool AwaitNext(ServerStream& stream, bool first) const;
  void RefuseHead(ServerStream& stream, ServerStream::Verdict verdict);
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
