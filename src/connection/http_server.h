// HTTP server whose handlers can stream their answers.
//
// Each connection occupies one thread. Handlers run as coroutines on their own
// stack (Boost.Context), so that the HTTP library can send status and headers
// before the handler writes the body, on the same thread. Connections above the
// limit are answered with 503 at once.
//
// The resources that an unauthenticated caller can use are bounded: the head in
// bytes, lines and time, the TLS handshake in time, and no body is read before
// `screen` accepted the head. See docs/design/security.md.
#ifndef LYNXGLADE_CONNECTION_HTTP_SERVER_H_
#define LYNXGLADE_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "connection/tls_material.h"

namespace lynxglade::connection {

// Keys are lower-case. Of a repeated header, the first value is kept.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string method;
  std::string path;  // decoded, without the query
  std::string query_string;
  std::map<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;

  // The header's value, or empty if absent. `name` must be lower-case.
  std::string Header(const std::string& name) const;
};

// One request and its answer. Valid during the handler's call, and used by its
// thread only, except caller_disconnected().
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Sends a complete answer. Call at most once, and not after StartStream().
  virtual void Send(int status,
                    const std::string& content_type,
                    const HttpHeaders& headers,
                    std::string body) = 0;

  // Sends status and headers; Write() sends the body. Returns false if the
  // caller disconnected.
  virtual bool StartStream(int status,
                           const std::string& content_type,
                           const HttpHeaders& headers) = 0;
  // Sends a piece of the body at once. Returns false if the caller
  // disconnected; later calls have no effect then.
  virtual bool Write(std::string_view piece) = 0;
  // Aborts the stream in a way that the caller cannot take for its regular end.
  virtual void Abort() = 0;

  virtual const HttpRequest& request() const = 0;
  // Whether the caller closed its connection. Thread-safe.
  virtual bool caller_disconnected() const = 0;
};

using HttpHandler = std::function<void(HttpExchange&)>;

// Answer sent when all connection threads are in use.
struct HttpOverflowAnswer {
  int status = 503;
  std::string content_type = "application/json";
  std::string body;
};

// An answer sent without reading the body; the connection is closed after it.
struct HttpEarlyAnswer {
  int status = 400;
  HttpHeaders headers;
  std::string body;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 selects a free port.
  int port = 0;
  // Concurrent connections; further ones get the overflow answer.
  std::size_t max_connections = 1200;
  std::size_t max_body_bytes = 1u << 20;
  std::size_t max_head_bytes = 32u << 10;
  std::size_t max_header_lines = 100;
  // Idle timeout between requests; shortened while most connection threads are
  // in use.
  base::Duration idle_timeout = std::chrono::seconds(30);
  base::Duration handshake_timeout = std::chrono::seconds(5);
  // Bounds reading a head, and the wait for the first one on a connection.
  base::Duration head_timeout = std::chrono::seconds(10);
  // Bounds reading a body.
  base::Duration body_timeout = std::chrono::seconds(30);
  // Bounds one write to a caller. Large pieces get more time, at a rate of
  // 16 KiB/s.
  base::Duration write_timeout = std::chrono::seconds(10);
  // Null for plain TCP. A new connection uses the current certificate set.
  std::shared_ptr<const TlsMaterial> tls;
  // Checks the head of a request before its body is read. Returns an answer to
  // reject the request. Runs on the connection's thread. May be empty.
  std::function<std::optional<HttpEarlyAnswer>(const HttpRequest& head)> screen;
  HttpOverflowAnswer overflow;
  // Returns the body for an error that the server detects itself, such as a
  // request body above max_body_bytes.
  std::function<std::string(int status)> error_body;
};

// Rejected connections and requests since the start.
struct HttpServerCounters {
  // Connections above max_connections, which got the overflow answer.
  std::uint64_t overflowed = 0;
  // Connections closed without an answer because too many were waiting for the
  // overflow answer.
  std::uint64_t dropped = 0;
  std::uint64_t handshakes_failed = 0;
  std::uint64_t heads_too_large = 0;
  std::uint64_t heads_too_slow = 0;
  std::uint64_t bodies_too_large = 0;
  std::uint64_t bodies_too_slow = 0;
  // Rejected by `screen`, or for their path, body length, ambiguous framing or
  // content coding.
  std::uint64_t heads_refused = 0;
};

// Owns the listening socket, its accept thread and the connection threads.
class HttpServer {
 public:
  // `handler` is called for each request, on its connection's thread.
  HttpServer(HttpServerOptions options, HttpHandler handler);
  // Calls Stop().
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds and starts to accept. Returns the bound port, or nullopt if the
  // address cannot be bound or there is no certificate (see last_reason()).
  std::optional<int> Start();
  // Stops accepting and waits until all running handlers have returned.
  void Stop();

  // Connections that occupy a thread.
  std::size_t active_connections() const noexcept;
  std::size_t overflowed_connections() const noexcept;
  HttpServerCounters counters() const noexcept;
  const std::string& last_reason() const noexcept;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_HTTP_SERVER_H_
