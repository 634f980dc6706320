// An HTTP server whose handlers write their answers step by step.
//
// One connection holds one thread. A handler may stream: it runs on a stack of
// its own (Boost.Context), so that the library can send the status and headers
// that the handler chose before the handler goes on to write the body, all on
// the same thread. Connections above the bound are answered 503 at once.
//
// What a caller can cause before it has proved who it is stays bounded: the
// head in bytes, lines and seconds, the TLS handshake in seconds, and no body
// is read before `screen` has agreed to the head. See docs/notes/security.md.
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

// Header names are lower-case; of a repeated header the first value is kept.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string method;
  std::string path;  // decoded, without the query
  std::string query_string;
  std::map<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;

  // The header's value, empty when it is not there. `name` in lower case.
  std::string Header(const std::string& name) const;
};

// One request and the answer under way. Lives for the handler's call only and
// is used by its thread only, but for caller_gone().
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Sends a whole answer; at most one call, and none after StartStream().
  virtual void Send(int status,
                    const std::string& content_type,
                    const HttpHeaders& headers,
                    std::string body) = 0;

  // Sends status and headers; the body follows by Write(). Returns false when
  // the caller has gone.
  virtual bool StartStream(int status,
                           const std::string& content_type,
                           const HttpHeaders& headers) = 0;
  // Sends a piece of the body at once. Returns false when the caller has gone;
  // later calls then do nothing.
  virtual bool Write(std::string_view piece) = 0;
  // Breaks the stream off, so that the caller cannot take it for whole.
  virtual void Abort() = 0;

  virtual const HttpRequest& request() const = 0;
  // Whether the caller has closed its connection. Thread-safe.
  virtual bool caller_gone() const = 0;
};

using HttpHandler = std::function<void(HttpExchange&)>;

// What a caller gets when all connection threads are taken.
struct HttpOverflowAnswer {
  int status = 503;
  std::string content_type = "application/json";
  std::string body;
};

// An answer given before the body was read; the connection closes after it.
struct HttpEarlyAnswer {
  int status = 400;
  HttpHeaders headers;
  std::string body;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 takes any free port.
  int port = 0;
  // Connections served at a time; further ones get the overflow answer.
  std::size_t max_connections = 1200;
  std::size_t max_body_bytes = 1u << 20;
  std::size_t max_head_bytes = 32u << 10;
  std::size_t max_header_lines = 100;
  // How long a kept connection may stay idle; far less while most threads are
  // taken.
  base::Duration idle_timeout = std::chrono::seconds(30);
  base::Duration handshake_timeout = std::chrono::seconds(5);
  // From a head's first byte to its last, and for the first byte of all.
  base::Duration head_timeout = std::chrono::seconds(10);
  // From a body's first byte to its last.
  base::Duration body_timeout = std::chrono::seconds(30);
  // How long one write to a slow caller may take; a large piece gets longer,
  // by a rate of 16 KiB a second.
  base::Duration write_timeout = std::chrono::seconds(10);
  // Null: plain TCP. Each connection takes the set in use when it is made.
  std::shared_ptr<const TlsMaterial> tls;
  // Looks at a request's head before its body, if it has one, is read; an
  // answer refuses the request. Runs on the connection's thread. May be empty.
  std::function<std::optional<HttpEarlyAnswer>(const HttpRequest& head)> screen;
  HttpOverflowAnswer overflow;
  // Answers a body above max_body_bytes, and other errors that the library
  // finds by itself; by status.
  std::function<std::string(int status)> error_body;
};

// What was turned away since the start, each on its connection.
struct HttpServerCounters {
  // Above the bound on connections.
  std::uint64_t overflowed = 0;
  // Above the bound on those that wait for that answer: closed without one.
  std::uint64_t dropped = 0;
  std::uint64_t handshakes_failed = 0;
  std::uint64_t heads_too_large = 0;
  std::uint64_t heads_too_slow = 0;
  std::uint64_t bodies_too_large = 0;
  std::uint64_t bodies_too_slow = 0;
  // Refused by `screen` or for a head that contradicts itself.
  std::uint64_t heads_refused = 0;
};

// Owns the listening socket, its accept thread and the connection threads.
class HttpServer {
 public:
  // Every request goes to `handler`, on its connection's thread.
  HttpServer(HttpServerOptions options, HttpHandler handler);
  // Stops.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds and starts to accept. Returns the bound port; nothing when the
  // address is taken or there is no certificate (see last_reason()).
  std::optional<int> Start();
  // Stops accepting and waits until every running handler has returned.
  void Stop();

  // Connections that hold a thread now.
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
