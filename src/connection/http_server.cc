#include "connection/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include <httplib.h>
#include <boost/coroutine2/coroutine.hpp>

#include "connection/bounded_server.h"
#include "connection/connection_threads.h"
#include "connection/coroutine_stack.h"
#include "connection/http_limits.h"

namespace lynxglade::connection {

namespace {

namespace coro = boost::coroutines2;

// The HTTP library matches routes by a recursive regular expression; longer
// paths could overflow the stack of a connection thread.
constexpr std::size_t kMaxPathBytes = 256;
constexpr int kHttpBodyTooLarge = 413;
constexpr int kHttpUriTooLong = 414;
constexpr int kHttpInternalError = 500;
constexpr char kJson[] = "application/json";

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpRequest Convert(const httplib::Request& in) {
  HttpRequest out;
  out.method = in.method;
  out.path = in.path;
  const auto mark = in.target.find('?');
  if (mark != std::string::npos) {
    out.query_string = in.target.substr(mark + 1);
  }
  for (const auto& [name, value] : in.params) {
    out.query.emplace(name, value);
  }
  for (const auto& [name, value] : in.headers) {
    out.headers.emplace(ToLower(name), value);
  }
  const std::string type = in.get_header_value(kHiddenContentType);
  if (!type.empty()) {
    out.headers.emplace("content-type", type);
  }
  out.body = in.body;
  return out;
}

// --- One exchange -----------------------------------------------------------

// Runs the handler as a coroutine: up to StartStream() in the HTTP library's
// request handler, after that in its content provider.
class CoroutineExchange final : public HttpExchange {
 public:
  // Created on the connection's thread. `stream` must outlive this object.
  CoroutineExchange(HttpRequest request,
                    const ServerStream& stream,
                    const HttpHandler& handler)
      : request_(std::move(request)),
        stream_(stream),
        body_(CoroutineStack(kConnectionStackBytes),
              [this, &handler](Push& yield) {
                yield_ = &yield;
                handler(*this);
              }) {}

  ~CoroutineExchange() override {
    // The headers could not be sent: resume the handler, so that it returns.
    disconnected_ = true;
    Resume(nullptr);
  }

  // --- HttpExchange

  void Send(int status,
            const std::string& content_type,
            const HttpHeaders& headers,
            std::string body) override {
    SetHead(status, content_type, headers);
    whole_body_ = std::move(body);
  }

  bool StartStream(int status,
                   const std::string& content_type,
                   const HttpHeaders& headers) override {
    SetHead(status, content_type, headers);
    streaming_ = true;
    (*yield_)();
    return !disconnected_;
  }

  bool Write(std::string_view piece) override {
    if (disconnected_ || aborted_) {
      return false;
    }
    if (!sink_->write(piece.data(), piece.size())) {
      disconnected_ = true;
    }
    return !disconnected_;
  }

  void Abort() override { aborted_ = true; }

  const HttpRequest& request() const override { return request_; }
  bool caller_disconnected() const override {
    return disconnected_ || stream_.PeerClosed();
  }

  // --- For the server

  void FillHead(httplib::Response& response) const {
    response.status = status_;
    for (const auto& [name, value] : headers_) {
      response.set_header(name, value);
    }
  }
  bool streaming() const { return streaming_; }
  const std::string& content_type() const { return content_type_; }
  std::string TakeBody() { return std::move(whole_body_); }

  // Resumes the handler. Returns whether the stream was completed.
  bool Resume(httplib::DataSink* sink) {
    sink_ = sink;
    if (body_) {
      body_();
    }
    sink_ = nullptr;
    return !disconnected_ && !aborted_;
  }

 private:
  using Pull = coro::coroutine<void>::pull_type;
  using Push = coro::coroutine<void>::push_type;

  void SetHead(int status,
               const std::string& content_type,
               const HttpHeaders& headers) {
    status_ = status;
    content_type_ = content_type;
    headers_ = headers;
  }

  const HttpRequest request_;
  const ServerStream& stream_;
  int status_ = 500;
  std::string content_type_ = "application/json";
  HttpHeaders headers_;
  std::string whole_body_;
  bool streaming_ = false;
  // Read by other threads through caller_disconnected().
  std::atomic<bool> disconnected_{false};
  bool aborted_ = false;
  httplib::DataSink* sink_ = nullptr;
  Push* yield_ = nullptr;
  // Must be last: its construction starts the handler, which uses the members
  // above.
  Pull body_;
};

// --- The library's thread pool ----------------------------------------------

class TaskQueue final : public httplib::TaskQueue {
 public:
  explicit TaskQueue(ConnectionThreads& threads) : threads_(threads) {}

  void enqueue(std::function<void()> fn) override {
    threads_.Run(std::move(fn));
  }
  void shutdown() override { threads_.Shutdown(); }

 private:
  ConnectionThreads& threads_;
};

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

// --- The server -------------------------------------------------------------

struct HttpServer::Details {
  Details(HttpServerOptions o, HttpHandler h)
      : options(std::move(o)),
        handler(std::move(h)),
        threads(options.max_connections),
        server(options, threads) {}

  void Configure();
  void Serve(const httplib::Request& in, httplib::Response& out);
  // Answers the request and returns true if its head is rejected.
  bool RejectByHead(const httplib::Request& in, httplib::Response& out);
  bool RejectsHead(const httplib::Request& in, httplib::Response& out);
  bool Screen(const httplib::Request& in, httplib::Response& out);
  void FillError(httplib::Response& out) const;

  const HttpServerOptions options;
  const HttpHandler handler;
  ConnectionThreads threads;
  BoundedServer server;
  socket_t listening_socket = INVALID_SOCKET;
  std::thread accept_thread;
  std::string last_reason;
};

void HttpServer::Details::Configure() {
  server.new_task_queue = [this] { return new TaskQueue(threads); };
  server.set_tcp_nodelay(true);
  server.set_payload_max_length(options.max_body_bytes);
  // The library's default sets SO_REUSEPORT, which would let a second daemon on
  // the same port take part of the connections.
  server.set_socket_options([this](socket_t fd) {
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    listening_socket = fd;
  });
  server.set_expect_100_continue_handler(
      [this](const httplib::Request& in, httplib::Response& out) {
        return RejectByHead(in, out) ? out.status : 100;
      });
  server.set_pre_routing_handler([this](const httplib::Request& in,
                                        httplib::Response& out) {
    return RejectByHead(in, out) ? httplib::Server::HandlerResponse::Handled
                                 : httplib::Server::HandlerResponse::Unhandled;
  });
  server.set_error_handler([this](const httplib::Request&,
                                  httplib::Response& out) { FillError(out); });
  // The library's default handler would send the exception's text to the
  // caller.
  server.set_exception_handler(
      [](const httplib::Request&, httplib::Response& out,
         const std::exception_ptr&) { out.status = kHttpInternalError; });
  const auto serve = [this](const httplib::Request& in,
                            httplib::Response& out) { Serve(in, out); };
  server.Get(".*", serve);
  server.Post(".*", serve);
  server.Put(".*", serve);
  server.Patch(".*", serve);
  server.Delete(".*", serve);
}

bool HttpServer::Details::RejectByHead(const httplib::Request& in,
                                       httplib::Response& out) {
  if (ConnectionThreads::CurrentMode() != ConnectionThreads::Mode::kServe) {
    out.status = options.overflow.status;
    out.set_content(options.overflow.body, options.overflow.content_type);
  } else if (!RejectsHead(in, out)) {
    return false;
  }
  // The body is not read, so a following request could not be told apart from
  // it.
  BoundedServer::CloseAfterAnswer();
  out.set_header("Connection", "close");
  return true;
}

// Checks the head and fills the answer if it is rejected.
bool HttpServer::Details::RejectsHead(const httplib::Request& in,
                                      httplib::Response& out) {
  if (in.path.size() > kMaxPathBytes) {
    out.status = kHttpUriTooLong;
  } else if (const int status = BoundedServer::CheckHead(in)) {
    out.status = status;
  } else if (in.get_header_value<std::uint64_t>("Content-Length") >
             options.max_body_bytes) {
    out.status = kHttpBodyTooLarge;
  } else if (!Screen(in, out)) {
    return false;
  }
  server.CountRefusedHead();
  return true;
}

bool HttpServer::Details::Screen(const httplib::Request& in,
                                 httplib::Response& out) {
  const bool has_body = in.get_header_value("Content-Length") != "0";
  const auto answer =
      has_body && options.screen ? options.screen(Convert(in)) : std::nullopt;
  if (!answer) {
    return false;
  }
  out.status = answer->status;
  for (const auto& [name, value] : answer->headers) {
    out.set_header(name, value);
  }
  out.set_content(answer->body, kJson);
  return true;
}

void HttpServer::Details::FillError(httplib::Response& out) const {
  out.status = BoundedServer::StatusOfBody(out.status);
  if (out.body.empty() && options.error_body) {
    out.set_content(options.error_body(out.status), kJson);
  }
}

void HttpServer::Details::Serve(const httplib::Request& in,
                                httplib::Response& out) {
  // The size of a chunked body is known only after reading it.
  if (in.body.size() > options.max_body_bytes) {
    out.status = kHttpBodyTooLarge;
    return;
  }
  auto exchange = std::make_shared<CoroutineExchange>(
      Convert(in), BoundedServer::CurrentStream(), handler);
  exchange->FillHead(out);
  if (!exchange->streaming()) {
    out.set_content(exchange->TakeBody(), exchange->content_type());
    return;
  }
  out.set_chunked_content_provider(
      exchange->content_type(),
      [exchange](std::size_t, httplib::DataSink& sink) {
        const bool whole = exchange->Resume(&sink);
        if (whole) {
          sink.done();
        }
        return whole;
      });
}

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : details_(
          std::make_unique<Details>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() {
  Stop();
}

std::optional<int> HttpServer::Start() {
  Details& d = *details_;
  if (d.options.tls && !d.options.tls->Context()) {
    d.last_reason = "there is no certificate";
    return std::nullopt;
  }
  d.Configure();
  int port = d.options.port;
  if (port == 0) {
    port = d.server.bind_to_any_port(d.options.address);
  } else if (!d.server.bind_to_port(d.options.address, port)) {
    port = -1;
  }
  if (port <= 0) {
    d.last_reason = "cannot bind " + d.options.address + ":" +
                    std::to_string(d.options.port);
    return std::nullopt;
  }
  // The library listens with a backlog of 5; a second call raises it.
  ::listen(d.listening_socket, kListenBacklog);
  d.accept_thread =
      std::thread([this] { details_->server.listen_after_bind(); });
  while (!d.server.is_running()) {
    std::this_thread::yield();
  }
  return port;
}

void HttpServer::Stop() {
  if (!details_->accept_thread.joinable()) {
    return;
  }
  details_->server.stop();
  details_->accept_thread.join();
}

std::size_t HttpServer::active_connections() const noexcept {
  return details_->threads.busy();
}

std::size_t HttpServer::overflowed_connections() const noexcept {
  return details_->threads.overflowed();
}

HttpServerCounters HttpServer::counters() const noexcept {
  return details_->server.counters();
}

const std::string& HttpServer::last_reason() const noexcept {
  return details_->last_reason;
}

}  // namespace lynxglade::connection
