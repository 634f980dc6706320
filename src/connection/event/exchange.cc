#include "connection/event/exchange.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "base/whole_number.h"
#include "connection/event/input_end.h"
#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kHttp11 = 11;
constexpr std::int64_t kMaxIdleSeconds = std::int64_t{24} * 3600;
// Bodies are streamed, so their size is not limited here. (This version of
// Beast treats boost::none as a limit of zero.)
constexpr std::uint64_t kNoBodyLimit = std::uint64_t{1} << 62;

// Nothing asks for another protocol, so 101 would end HTTP without an answer.
bool IsAnswerStatus(unsigned status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != static_cast<unsigned>(http::status::switching_protocols);
}

// HTTP/1.0 has no transfer codings.
bool HasReadableBody(const ResponseParser<http::buffer_body>& parser) {
  const auto& head = parser.get().base();
  return HasKnownCoding(head) &&
         (head.version() >= kHttp11 ||
          head.count(http::field::transfer_encoding) == 0);
}

// Parses the idle timeout in a Keep-Alive header, such as "timeout=5".
std::optional<base::Duration> IdleLimitOf(const ResponseHead& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text = View(head[http::field::keep_alive]);
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(at + kTimeout.size());
  const auto seconds = base::ParseWhole(
      rest.substr(0, rest.find_first_not_of("0123456789")), 0, kMaxIdleSeconds);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

}  // namespace

// Shared with the write operation, which may outlive the exchange.
struct Exchange::Sending {
  Sending(OutgoingRequest it, const Tcp::socket::executor_type& executor)
      : request(std::move(it)), input_end(executor) {}

  OutgoingRequest request;
  bool written = false;
  bool unacknowledged = false;
  InputEnd input_end;
  // Null until the request is sent.
  std::unique_ptr<asio::steady_timer> watch;
};

Exchange::Exchange(ChannelPool& pool, ExchangeOptions options)
    : pool_(pool), options_(options) {}

Exchange::~Exchange() {
  Cancel();
}

Awaitable<ExchangeState> Exchange::Start(Tcp::endpoint endpoint,
                                         OutgoingRequest request,
                                         AnswerFilter is_answer,
                                         ChannelReuse reuse) {
  channel_ = pool_.Take(endpoint, reuse);
  if (!channel_->socket.is_open()) {
    const auto channel = channel_;
    connect_end_ = co_await pool_.Open(channel);
    if (connect_end_ != ConnectEnd::kConnected) {
      co_return state_;
    }
  }
  if (state_ == ExchangeState::kCancelled) {
    co_return state_;
  }
  via_ = channel_->via;
  Send(std::move(request));
  WatchSending();
  const bool got_head = co_await ReadHead(is_answer);
  if (got_head) {
    state_ = ExchangeState::kHead;
    if (parser_->is_done()) {
      Finish();
    }
  }
  co_return state_;
}

bool Exchange::unacknowledged() const noexcept {
  return sending_ && sending_->unacknowledged;
}

// Starts the write without waiting for its completion, since the answer may
// arrive first.
void Exchange::Send(OutgoingRequest request) {
  state_ = ExchangeState::kBroken;
  sending_ = std::make_shared<Sending>(std::move(request),
                                       channel_->socket.get_executor());
  sending_->input_end.OnWriteBegun();
  http::async_write(channel_->socket, sending_->request,
                    [sending = sending_, channel = channel_](
                        const ErrorCode& ec, std::size_t) {
                      sending->written = !ec;
                      sending->input_end.OnWriteEnded(ec);
                    });
}

void Exchange::WatchSending() {
  sending_->watch = std::make_unique<asio::steady_timer>(
      channel_->socket.get_executor(), options_.suspect_timeout);
  sending_->watch->async_wait([&pool = pool_, options = options_,
                               sending = std::weak_ptr(sending_),
                               channel = channel_](const ErrorCode& ec) {
    if (ec || !channel->socket.is_open()) {
      return;
    }
    if (UnacknowledgedBytes(channel->socket) > 0) {
      pool.OnUnacknowledged(*channel);
    }
    WatchSuspect(pool, options, sending, channel, options.suspect_timeout);
  });
}

// Ends with the first acknowledgement of the whole request.
void Exchange::WatchSuspect(const ChannelPool& pool,
                            const ExchangeOptions& options,
                            const std::weak_ptr<Sending>& sending,
                            const std::shared_ptr<Channel>& channel,
                            base::Duration waited) {
  const auto it = sending.lock();
  if (!it || !it->watch || !channel->socket.is_open()) {
    return;
  }
  const bool stuck = UnacknowledgedBytes(channel->socket) > 0;
  if (!stuck && (it->written || waited >= options.acknowledge_timeout)) {
    return;
  }
  if (stuck &&
      (waited >= options.acknowledge_timeout || !pool.IsTrusted(*channel))) {
    it->unacknowledged = true;
    ResetSocket(channel->socket);
    return;
  }
  it->watch->expires_after(options.suspect_period);
  it->watch->async_wait(
      [&pool, options, sending, channel, waited](const ErrorCode& ec) {
        if (!ec) {
          WatchSuspect(pool, options, sending, channel,
                       waited + options.suspect_period);
        }
      });
}

Awaitable<bool> Exchange::ReadHead(const AnswerFilter& is_answer) {
  int skipped = 0;
  int informational = 0;
  while (skipped <= options_.max_foreign_answers) {
    MakeParser();
    ErrorCode ec;
    const auto channel = channel_;
    co_await http::async_read_header(channel->socket, channel->buffer, *parser_,
                                     Into(ec));
    const unsigned status = parser_->get().result_int();
    if (ec || !IsAnswerStatus(status)) {
      Fail(ec ? ec.message() : "status " + std::to_string(status));
      co_return false;
    }
    if (!HasReadableBody(*parser_)) {
      Fail("transfer coding");
      co_return false;
    }
    if (status < kFirstFinalStatus) {
      if (++informational > options_.max_informational_answers) {
        break;
      }
      continue;
    }
    if (IsOurs(is_answer, skipped)) {
      head_ = parser_->get().base();
      co_return true;
    }
    ++skipped;
    const bool more = co_await SkipBody();
    if (!more) {
      break;
    }
  }
  Fail("no answer to this request");
  co_return false;
}

bool Exchange::IsOurs(const AnswerFilter& is_answer, int skipped) const {
  return !is_answer ||
         is_answer(parser_->get(), channel_->answered == 0 && skipped == 0);
}

Awaitable<bool> Exchange::SkipBody() {
  skipping_ = true;
  state_ = ExchangeState::kHead;
  while (state_ == ExchangeState::kHead) {
    co_await ReadSome();
  }
  skipping_ = false;
  if (state_ != ExchangeState::kWhole) {
    co_return false;
  }
  state_ = ExchangeState::kBroken;
  co_return parser_->keep_alive() && !parser_->need_eof();
}

void Exchange::MakeParser() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(options_.max_head_bytes);
  parser_->body_limit(kNoBodyLimit);
  // Its answer states the length of a body that does not follow.
  parser_->skip(sending_->request.method() == http::verb::head);
}

Awaitable<std::string_view> Exchange::ReadSome() {
  if (state_ != ExchangeState::kHead) {
    co_return std::string_view();
  }
  const auto channel = channel_;
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    ErrorCode ec;
    co_await http::async_read_some(channel->socket, channel->buffer, *parser_,
                                   Into(ec));
    if (ec && ec != http::error::need_buffer) {
      Fail(ec.message());
      co_return std::string_view();
    }
    const std::size_t n = piece_.size() - parser_->get().body().size;
    if (n > 0) {
      if (parser_->is_done() && !parser_->need_eof()) {
        Finish();
      }
      co_return std::string_view(piece_.data(), n);
    }
  }
  co_await EndBody();
  co_return std::string_view();
}

Awaitable<void> Exchange::EndBody() {
  if (parser_->need_eof()) {
    const auto channel = channel_;
    const auto sending = sending_;
    const bool orderly = co_await sending->input_end.IsOrderly(channel->socket);
    if (!orderly) {
      Fail("reset before the end");
      co_return;
    }
  }
  Finish();
}

Awaitable<std::string> Exchange::ReadRest(std::size_t max_bytes) {
  std::string body;
  while (state_ == ExchangeState::kHead) {
    body.append(co_await ReadSome());
    if (body.size() > max_bytes) {
      Fail("body too large");
    }
  }
  co_return body;
}

void Exchange::Finish() {
  if (state_ != ExchangeState::kHead) {
    return;
  }
  state_ = ExchangeState::kWhole;
  if (skipping_) {
    return;
  }
  // The connection may be reused by another exchange.
  sending_->watch.reset();
  const bool reusable = sending_->written && parser_->keep_alive() &&
                        !parser_->need_eof() && channel_->buffer.size() == 0;
  if (reusable) {
    channel_->idle_limit = IdleLimitOf(head_);
    pool_.Keep(std::move(channel_));
  } else if (!sending_->written) {
    // The write goes on otherwise, after the caller has its answer.
    ResetSocket(channel_->socket);
  }
  channel_.reset();
}

// The first fault is the cause of those that follow.
void Exchange::Fail(std::string fault) {
  if (state_ == ExchangeState::kCancelled) {
    return;
  }
  if (fault_.empty()) {
    fault_ = std::move(fault);
  }
  state_ = ExchangeState::kBroken;
  if (channel_) {
    ResetSocket(channel_->socket);
    channel_.reset();
  }
}

void Exchange::Cancel() noexcept {
  if (state_ == ExchangeState::kWhole) {
    return;
  }
  state_ = ExchangeState::kCancelled;
  if (channel_) {
    channel_->Abandon();
  }
}

BodyFraming Exchange::framing() const {
  return parser_ ? FramingOf(*parser_) : BodyFraming::kNone;
}

CancelAfter::CancelAfter(asio::io_context& loop,
                         Exchange& exchange,
                         base::Duration wait)
    : timer_(loop, std::max(wait, base::Duration::zero())) {
  // The handler may already be queued when the timer is destroyed; the flag
  // keeps it from using the exchange then.
  timer_.async_wait([&exchange, armed = armed_](const ErrorCode& ec) {
    if (!ec && *armed) {
      exchange.Cancel();
    }
  });
}

CancelAfter::~CancelAfter() {
  *armed_ = false;
}

}  // namespace lynxglade::connection::event
