#include "connection/bounded_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <string_view>

namespace lynxglade::connection {

namespace {

using Mode = ConnectionThreads::Mode;
using Verdict = ServerStream::Verdict;

// Limit of the HTTP library on requests per connection.
constexpr std::size_t kRequestsPerConnection = 100'000;
// Limits for a connection that gets the overflow answer.
constexpr base::Duration kOverflowTimeout = std::chrono::seconds(1);
constexpr base::Duration kOverflowLingerTimeout =
    std::chrono::milliseconds(100);
// Idle timeout while most connection threads are in use.
constexpr base::Duration kNearlyFullIdleTimeout = std::chrono::seconds(1);
constexpr base::Duration kLingerTimeout = std::chrono::milliseconds(500);
// Allowance for chunk framing: an eighth of the body limit plus a constant.
constexpr std::size_t kFramingShare = 8;
constexpr std::size_t kFramingBytes = 64u << 10;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kUnsupportedMedia = 415;
constexpr int kHeadTooLarge = 431;
constexpr int kNotImplemented = 501;

// State of the connection served by this thread.
struct Current {
  ServerStream* stream = nullptr;
  bool close = false;
};
thread_local Current current;

bool IsDigits(const std::string& text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return std::isdigit(c) != 0;
  });
}

// Changes a parsed head so that the HTTP library does not interpret the body.
void PrepareHead(httplib::Request& request) {
  request.headers.erase(kHiddenContentType);
  const std::string type = request.get_header_value("Content-Type");
  if (!type.empty()) {
    request.headers.emplace(kHiddenContentType, type);
  }
  request.headers.erase("Content-Type");
  request.headers.erase("Range");
  request.ranges.clear();
  // Without either header the body is empty, but the HTTP library would read to
  // the end of the connection.
  if (!request.has_header("Content-Length") &&
      !request.has_header("Transfer-Encoding")) {
    request.headers.emplace("Content-Length", "0");
  }
}

std::string_view ReasonPhrase(int status) {
  return status == kRequestTimeout ? "Request Timeout"
                                   : "Request Header Fields Too Large";
}

}  // namespace

BoundedServer::BoundedServer(const HttpServerOptions& options,
                             ConnectionThreads& threads)
    : options_(options), threads_(threads) {}

int BoundedServer::CheckHead(const httplib::Request& head) {
  const auto lengths = head.get_header_value_count("Content-Length");
  const auto encodings = head.get_header_value_count("Transfer-Encoding");
  if (lengths + encodings > 1) {
    return kBadRequest;
  }
  if (lengths == 1 && !IsDigits(head.get_header_value("Content-Length"))) {
    return kBadRequest;
  }
  if (encodings == 1 &&
      head.get_header_value("Transfer-Encoding") != "chunked") {
    return kNotImplemented;
  }
  // Compressed bodies are rejected: a small one can expand to gigabytes.
  const std::string coding = head.get_header_value("Content-Encoding");
  return coding.empty() || coding == "identity" ? 0 : kUnsupportedMedia;
}

const ServerStream& BoundedServer::CurrentStream() {
  return *current.stream;
}

void BoundedServer::CloseAfterAnswer() {
  current.close = true;
}

int BoundedServer::StatusOfBody(int status) {
  if (current.stream == nullptr || status != kBadRequest) {
    return status;
  }
  switch (current.stream->body_verdict()) {
    case Verdict::kTooLarge:
      return kBodyTooLarge;
    case Verdict::kTooSlow:
      return kRequestTimeout;
    case Verdict::kGood:
    case Verdict::kClosed:
      break;
  }
  return status;
}

HttpServerCounters BoundedServer::counters() const noexcept {
  HttpServerCounters out;
  out.overflowed = threads_.overflowed();
  out.dropped = threads_.dropped();
  out.handshakes_failed = handshakes_failed_;
  out.heads_too_large = heads_too_large_;
  out.heads_too_slow = heads_too_slow_;
  out.bodies_too_large = bodies_too_large_;
  out.bodies_too_slow = bodies_too_slow_;
  out.heads_refused = heads_refused_;
  return out;
}

// --- One connection ---------------------------------------------------------

bool BoundedServer::process_and_close_socket(socket_t sock) {
  if (ConnectionThreads::CurrentMode() != Mode::kDrop) {
    Serve(sock);
  }
  ::close(sock);
  return true;
}

void BoundedServer::Serve(socket_t sock) {
  const bool overflow = ConnectionThreads::CurrentMode() == Mode::kOverflow;
  if (overflow && svr_sock_ == INVALID_SOCKET) {
    return;  // a stop does not wait for overflow connections
  }
  ServerStream stream(sock, Limits());
  if (options_.tls && !stream.Handshake(options_.tls->Context())) {
    ++handshakes_failed_;
    return;
  }
  ServeRequests(stream);
  stream.CloseWithLinger(overflow ? kOverflowLingerTimeout : kLingerTimeout);
}

void BoundedServer::ServeRequests(ServerStream& stream) {
  const bool overflow = ConnectionThreads::CurrentMode() == Mode::kOverflow;
  const std::size_t most = overflow ? 1 : kRequestsPerConnection;
  current = {&stream, false};
  for (std::size_t n = 0; n < most && AwaitNext(stream, n == 0); ++n) {
    if (!ServeOne(stream, n + 1 == most)) {
      break;
    }
  }
  current = {};
}

bool BoundedServer::AwaitNext(ServerStream& stream, bool first) const {
  const auto start = std::chrono::steady_clock::now();
  const auto should_stop = [&] {
    const bool idle_long =
        std::chrono::steady_clock::now() - start >= kNearlyFullIdleTimeout;
    return svr_sock_ == INVALID_SOCKET ||
           (idle_long && threads_.IsNearlyFull());
  };
  const bool overflow = ConnectionThreads::CurrentMode() == Mode::kOverflow;
  const base::Duration timeout =
      first ? options_.head_timeout : options_.idle_timeout;
  return stream.AwaitRequest(overflow ? kOverflowTimeout : timeout,
                             should_stop);
}

bool BoundedServer::ServeOne(ServerStream& stream, bool last) {
  const Verdict verdict = stream.ReadHead();
  if (verdict != Verdict::kGood) {
    RejectHead(stream, verdict);
    return false;
  }
  bool closed = false;
  const bool good = process_request(stream, last, closed, PrepareHead);
  CountBody(stream.body_verdict());
  return good && !closed && !current.close &&
         stream.body_verdict() == Verdict::kGood;
}

void BoundedServer::RejectHead(ServerStream& stream, Verdict verdict) {
  if (verdict == Verdict::kClosed) {
    return;
  }
  const bool slow = verdict == Verdict::kTooSlow;
  ++(slow ? heads_too_slow_ : heads_too_large_);
  const int status = slow ? kRequestTimeout : kHeadTooLarge;
  const std::string body =
      options_.error_body ? options_.error_body(status) : std::string();
  std::string answer = "HTTP/1.1 " + std::to_string(status) + " ";
  answer += ReasonPhrase(status);
  answer += "\r\nConnection: close\r\nContent-Type: application/json";
  answer += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  answer += body;
  stream.write(answer.data(), answer.size());
}

void BoundedServer::CountBody(Verdict verdict) noexcept {
  if (verdict == Verdict::kTooLarge) {
    ++bodies_too_large_;
  }
  if (verdict == Verdict::kTooSlow) {
    ++bodies_too_slow_;
  }
}

ServerStreamLimits BoundedServer::Limits() const {
  ServerStreamLimits limits;
  limits.max_head_bytes = options_.max_head_bytes;
  limits.max_header_lines = options_.max_header_lines;
  limits.max_body_bytes = options_.max_body_bytes +
                          options_.max_body_bytes / kFramingShare +
                          kFramingBytes;
  limits.handshake_timeout = options_.handshake_timeout;
  limits.head_timeout = options_.head_timeout;
  limits.body_timeout = options_.body_timeout;
  limits.write_timeout = options_.write_timeout;
  if (ConnectionThreads::CurrentMode() == Mode::kOverflow) {
    limits.handshake_timeout = kOverflowTimeout;
    limits.head_timeout = kOverflowTimeout;
    limits.write_timeout = kOverflowTimeout;
  }
  return limits;
}

}  // namespace lynxglade::connection
