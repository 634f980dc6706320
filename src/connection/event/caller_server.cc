#include "connection/event/caller_server.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "base/scope_exit.h"
#include "connection/event/caller_faults.h"
#include "connection/event/message_parser.h"
#include "connection/event/sleep.h"
#include "connection/event/socket_probe.h"
#include "connection/event/tasks.h"

namespace lynxglade::connection::event {

namespace {

// TCP_USER_TIMEOUT of connections to callers.
constexpr base::Duration kCallerUserTimeout = std::chrono::seconds(5);
// Delay before the next accept after one failed, such as for lack of
// descriptors.
constexpr base::Duration kAcceptPause = std::chrono::milliseconds(50);

// How long, and up to how many bytes, what a caller still sends is read after
// the last answer.
constexpr base::Duration kLingerTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingerBytes = std::size_t{1024} * 1024;

// Connections that are accepted before other handlers run.
constexpr int kMaxAcceptedAtOnce = 64;

// Bytes read ahead beyond a head: more than the size line of a chunk or
// trailers ever need.
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;

using BodyParser = RequestParser<http::string_body>;

}  // namespace

// State shared by all sessions, which may outlive the server.
struct CallerServer::Shared {
  Shared(asio::io_context& l,
         std::function<CallerServerLimits()> b,
         CallerHandler h,
         base::Clock c,
         base::Metrics& m,
         std::size_t buffered,
         std::function<bool()> overloaded)
      : loop(l),
        bounds(std::move(b)),
        handler(std::move(h)),
        clock(std::move(c)),
        metrics(m),
        max_buffered(buffered),
        is_overloaded(std::move(overloaded)) {}

  asio::io_context& loop;
  std::function<CallerServerLimits()> bounds;
  CallerHandler handler;
  base::Clock clock;
  base::Metrics& metrics;
  const std::size_t max_buffered;
  const std::function<bool()> is_overloaded;
  std::set<Session*> sessions;
  std::size_t busy = 0;
  std::size_t buffered = 0;
  bool draining = false;

  bool IsOverloaded() const { return is_overloaded && is_overloaded(); }
};

// One connection.
class CallerServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Shared> shared, Tcp::socket socket)
      : shared_(std::move(shared)),
        socket_(std::move(socket)),
        timer_(shared_->loop) {
    shared_->sessions.insert(this);
  }
  ~Session() { shared_->sessions.erase(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  static Awaitable<void> Run(std::shared_ptr<Session> self);
  void CloseIfIdle() noexcept;
  void EndRead() noexcept;

 private:
  Awaitable<void> ServeRequests();
  Awaitable<std::shared_ptr<CallerRequest>> Read();
  Awaitable<bool> AwaitFirstByte(const CallerServerLimits& bounds);
  Awaitable<bool> ReadHead(const CallerServerLimits& bounds,
                           BodyParser& parser);
  Awaitable<bool> ReadBody(const CallerServerLimits& bounds,
                           BodyParser& parser);
  Awaitable<void> SendContinue(const RequestHead& head);
  Awaitable<bool> Serve(std::shared_ptr<CallerRequest> request);
  Awaitable<void> AnswerFailure(CallerReply& reply);
  // Returns whether there is an answer.
  Awaitable<bool> AnswerFault();
  // Reads what the caller still sends, for a while: a connection that is closed
  // with unread bytes is reset, and its last answer may not arrive.
  Awaitable<void> Linger();
  void Arm(base::Duration wait, ReadFault fault);
  void Disarm();
  void Fault(const ErrorCode& ec);
  void WatchForClose(std::weak_ptr<CallerReply> reply);

  std::shared_ptr<Shared> shared_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::string caller_;
  base::Time arrived_{};
  // Set when the timer cancelled a wait; distinguishes a timeout from a close
  // by the caller.
  std::optional<ReadFault> timed_out_;
  ReadFault fault_ = ReadFault::kClosed;
  // Keeps a timer handler that is already queued from cancelling a later wait.
  int timer_generation_ = 0;
  bool idle_ = true;
  bool reading_ = false;
  // Nothing has been read from it.
  bool is_new_ = true;
};

Awaitable<void> CallerServer::Session::Run(std::shared_ptr<Session> self) {
  // Unless it was closed in order.
  const base::ScopeExit reset([&self] { ResetSocket(self->socket_); });
  co_await self->ServeRequests();
}

Awaitable<void> CallerServer::Session::ServeRequests() {
  ErrorCode ec;
  caller_ = socket_.remote_endpoint(ec).address().to_string();
  TuneSocket(socket_, kCallerUserTimeout);
  while (socket_.is_open()) {
    const std::shared_ptr<CallerRequest> request = co_await Read();
    if (!request) {
      const bool answered = co_await AnswerFault();
      if (answered) {
        co_await Linger();
      }
      break;
    }
    const bool again = co_await Serve(request);
    if (!again) {
      if (shared_->draining && HasInput(socket_)) {
        co_await Linger();
      }
      break;
    }
  }
  ShutdownAndClose(socket_);
}

Awaitable<std::shared_ptr<CallerRequest>> CallerServer::Session::Read() {
  const CallerServerLimits bounds = shared_->bounds();
  reading_ = true;
  const base::ScopeExit end([this] { reading_ = false; });
  const bool begun = co_await AwaitFirstByte(bounds);
  if (!begun) {
    co_return nullptr;
  }
  if (std::exchange(is_new_, false) && shared_->IsOverloaded()) {
    fault_ = ReadFault::kOverloaded;
    co_return nullptr;
  }
  buffer_.max_size(bounds.max_header_bytes + kMaxReadAhead);
  BodyParser parser;
  parser.header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
  parser.body_limit(bounds.max_body_bytes);
  const bool got_head = co_await ReadHead(bounds, parser);
  if (!got_head) {
    co_return nullptr;
  }
  const bool got_body = co_await ReadBody(bounds, parser);
  if (!got_body) {
    co_return nullptr;
  }
  auto request = std::make_shared<CallerRequest>();
  request->keep_alive = parser.keep_alive();
  auto message = parser.release();
  request->body = std::move(message.body());
  request->head = std::move(message.base());
  request->caller = caller_;
  request->arrived = arrived_;
  co_return request;
}

Awaitable<bool> CallerServer::Session::AwaitFirstByte(
    const CallerServerLimits& bounds) {
  idle_ = true;
  if (buffer_.size() == 0) {
    Arm(bounds.idle_timeout, ReadFault::kIdle);
    ErrorCode ec;
    co_await socket_.async_wait(Tcp::socket::wait_read, Into(ec));
    Disarm();
    if (ec) {
      Fault(ec);
      co_return false;
    }
  }
  idle_ = false;
  arrived_ = shared_->clock();
  co_return true;
}

Awaitable<bool> CallerServer::Session::ReadHead(
    const CallerServerLimits& bounds,
    BodyParser& parser) {
  Arm(bounds.header_timeout, ReadFault::kSlow);
  ErrorCode ec;
  co_await http::async_read_header(socket_, buffer_, parser, Into(ec));
  Disarm();
  if (ec) {
    Fault(ec);
    co_return false;
  }
  if (!HasUnambiguousLength(parser.get())) {
    fault_ = ReadFault::kMalformed;
    co_return false;
  }
  co_return true;
}

Awaitable<bool> CallerServer::Session::ReadBody(
    const CallerServerLimits& bounds,
    BodyParser& parser) {
  if (parser.is_done()) {
    co_return true;
  }
  co_await SendContinue(parser.get());
  std::size_t counted = 0;
  const base::ScopeExit read(
      [&counted, shared = shared_] { shared->buffered -= counted; });
  bool ok = true;
  while (ok && !parser.is_done()) {
    Arm(bounds.idle_timeout, ReadFault::kSlow);
    ErrorCode ec;
    co_await http::async_read_some(socket_, buffer_, parser, Into(ec));
    Disarm();
    const std::size_t size = parser.get().body().size();
    shared_->buffered += size - counted;
    counted = size;
    if (ec) {
      Fault(ec);
      ok = false;
    } else if (shared_->buffered > shared_->max_buffered) {
      fault_ = ReadFault::kMemory;
      ok = false;
    }
  }
  co_return ok;
}

Awaitable<void> CallerServer::Session::SendContinue(const RequestHead& head) {
  if (!boost::beast::iequals(head[http::field::expect], "100-continue")) {
    co_return;
  }
  http::response<http::empty_body> message(http::status::continue_,
                                           head.version());
  ErrorCode ec;
  co_await http::async_write(socket_, message, Into(ec));
}

Awaitable<bool> CallerServer::Session::Serve(
    std::shared_ptr<CallerRequest> request) {
  const auto reply =
      std::make_shared<CallerReply>(socket_, request->head.version(),
                                    request->head.method() == http::verb::head,
                                    [this, keep = request->keep_alive] {
                                      return shared_->draining || !keep;
                                    });
  WatchForClose(reply);
  ++shared_->busy;
  const base::ScopeExit served([shared = shared_] { --shared->busy; });
  std::exception_ptr failure;
  try {
    co_await shared_->handler(std::move(request), *reply);
  } catch (const std::exception&) {
    failure = std::current_exception();
  }
  LogFailure("request", failure);
  if (failure && !reply->begun()) {
    co_await AnswerFailure(*reply);
  }
  if (reply->begun() && !reply->whole()) {
    reply->Abort();
  }
  co_return reply->reusable() && !failure;
}

// The request may have run.
Awaitable<void> CallerServer::Session::AnswerFailure(CallerReply& reply) {
  AnswerHead head;
  head.status = static_cast<unsigned>(http::status::bad_gateway);
  reply.CloseAfter();
  co_await reply.SendWhole(std::move(head), {});
}

// Detects a close by the caller while no read is pending. Pipelined bytes end
// the watch, since a close would only be visible after them.
void CallerServer::Session::WatchForClose(std::weak_ptr<CallerReply> reply) {
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this(), reply](const ErrorCode& ec) {
                       const auto answer = reply.lock();
                       if (!answer || answer->whole()) {
                         return;
                       }
                       const bool closed = ec || !self->socket_.is_open() ||
                                           PeerClosed(self->socket_);
                       if (closed) {
                         answer->MarkDisconnected();
                       }
                     });
}

Awaitable<bool> CallerServer::Session::AnswerFault() {
  const FaultAnswer& answer = AnswerTo(fault_);
  shared_->metrics
      .GetCounter("lynxglade_unread_requests_total", {{"reason", answer.name}})
      .Add();
  if (answer.status == 0) {
    co_return false;
  }
  http::response<http::empty_body> message;
  message.version(11);
  message.result(answer.status);
  message.content_length(0);
  message.keep_alive(false);
  ErrorCode ec;
  co_await http::async_write(socket_, message, Into(ec));
  co_return !ec;
}

Awaitable<void> CallerServer::Session::Linger() {
  std::array<char, 4096> buf{};
  ErrorCode ec;
  std::ignore = socket_.shutdown(Tcp::socket::shutdown_send, ec);
  Arm(kLingerTime, ReadFault::kClosed);
  std::size_t read = 0;
  while (!ec && !timed_out_ && read < kMaxLingerBytes) {
    read += co_await socket_.async_read_some(asio::buffer(buf), Into(ec));
  }
  Disarm();
}

void CallerServer::Session::Arm(base::Duration wait, ReadFault fault) {
  timed_out_.reset();
  timer_.expires_after(wait);
  timer_.async_wait([self = shared_from_this(), fault,
                     generation = ++timer_generation_](const ErrorCode& ec) {
    if (ec || generation != self->timer_generation_) {
      return;
    }
    self->timed_out_ = fault;
    CancelWaits(self->socket_);
  });
}

void CallerServer::Session::Disarm() {
  ++timer_generation_;
  timer_.cancel();
}

void CallerServer::Session::Fault(const ErrorCode& ec) {
  fault_ = timed_out_ ? *timed_out_ : FaultOf(ec);
}

void CallerServer::Session::EndRead() noexcept {
  if (reading_) {
    timed_out_ = idle_ ? ReadFault::kIdle : ReadFault::kStopping;
    CancelWaits(socket_);
  }
}

void CallerServer::Session::CloseIfIdle() noexcept {
  if (!idle_) {
    return;
  }
  CancelWaits(socket_);
}

CallerServer::CallerServer(asio::io_context& loop,
                           CallerServerOptions options,
                           std::function<CallerServerLimits()> bounds,
                           CallerHandler handler,
                           base::Clock clock,
                           base::Metrics& metrics)
    : shared_(std::make_shared<Shared>(loop,
                                       std::move(bounds),
                                       std::move(handler),
                                       std::move(clock),
                                       metrics,
                                       options.max_buffered_bytes,
                                       options.is_overloaded)),
      acceptor_(loop),
      options_(std::move(options)) {}

CallerServer::~CallerServer() = default;

bool CallerServer::Start(std::string* reason) {
  ErrorCode ec;
  const auto failed = [&] {
    if (ec) {
      *reason = ec.message();
    }
    return static_cast<bool>(ec);
  };
  std::ignore = acceptor_.open(options_.endpoint.protocol(), ec);
  if (failed()) {
    return false;
  }
  std::ignore = acceptor_.set_option(Tcp::acceptor::reuse_address(true), ec);
  std::ignore = acceptor_.bind(options_.endpoint, ec);
  if (failed()) {
    return false;
  }
  std::ignore = acceptor_.listen(options_.backlog, ec);
  if (failed()) {
    return false;
  }
  std::ignore = acceptor_.non_blocking(true, ec);
  if (failed()) {
    return false;
  }
  SpawnPermanent(shared_->loop, "accept", [this] { return Accept(); });
  return true;
}

Awaitable<void> CallerServer::Accept() {
  while (acceptor_.is_open()) {
    ErrorCode ec;
    co_await acceptor_.async_wait(Tcp::acceptor::wait_read, Into(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    // Several at once: a request would wait here for as long as the loop is
    // late, and its lag would not show it.
    for (int i = 0; i < kMaxAcceptedAtOnce && !ec; ++i) {
      Tcp::socket socket(shared_->loop);
      std::ignore = acceptor_.accept(socket, ec);
      if (!ec) {
        Begin(std::move(socket));
      }
    }
    if (ec && ec != asio::error::would_block) {
      co_await SleepFor(shared_->loop, kAcceptPause);
    }
  }
}

void CallerServer::Begin(Tcp::socket socket) {
  const bool is_full = shared_->sessions.size() >= options_.max_connections;
  if (is_full || shared_->IsOverloaded()) {
    shared_->metrics
        .GetCounter("lynxglade_unread_requests_total",
                    {{"reason", is_full ? "connections" : "overloaded"}})
        .Add();
    return;
  }
  const auto session = std::make_shared<Session>(shared_, std::move(socket));
  Spawn(shared_->loop, "caller_connection", Session::Run(session));
}

void CallerServer::BeginDrain() noexcept {
  shared_->draining = true;
}

void CallerServer::CloseIdle() {
  std::ranges::for_each(shared_->sessions,
                        [](Session* it) { it->CloseIfIdle(); });
}

void CallerServer::EndReads() {
  std::ranges::for_each(shared_->sessions, [](Session* it) { it->EndRead(); });
}

void CallerServer::StopAccepting() noexcept {
  ErrorCode ec;
  std::ignore = acceptor_.close(ec);
}

std::size_t CallerServer::connections() const noexcept {
  return shared_->sessions.size();
}

std::size_t CallerServer::busy() const noexcept {
  return shared_->busy;
}

std::uint16_t CallerServer::port() const {
  ErrorCode ec;
  return acceptor_.local_endpoint(ec).port();
}

}  // namespace lynxglade::connection::event
