// One request to a target or to the platform, and its answer piece by piece.
//
// The answer is read while the request is still being written: the other end
// may answer early. A connection goes back to the pool only after a request
// that was written whole and an answer that was read whole.
#ifndef LYNXGLADE_CONNECTION_EVENT_EXCHANGE_H_
#define LYNXGLADE_CONNECTION_EVENT_EXCHANGE_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "connection/event/channel_pool.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// How far an exchange got.
enum class ExchangeState {
  // The connection was not made: nothing left this process.
  kNotSent,
  // Bytes were sent, and no answer that can be trusted came: the connection
  // ended, or what came is not HTTP or not this request's.
  kBroken,
  // The head of the answer is there.
  kHead,
  // The answer is whole.
  kWhole,
  // Cancel() ended it.
  kCancelled,
};

struct ExchangeOptions {
  // Answers to other requests that are passed over on a kept connection.
  int max_foreign_answers = 4;
  std::uint32_t max_head_bytes = 32 * 1024;
  // A request of which the other end has not acknowledged every byte by then is
  // given up and reset. Less than TCP_USER_TIMEOUT: a connection that the
  // system ends by itself cannot be reset any more.
  base::Duration acknowledged_within = std::chrono::milliseconds(900);
};

// Says whether an answer is this request's. `fresh` is true for the first
// answer on a connection, where no other can be due.
using AnswerFilter = std::function<bool(const ResponseHead&, bool fresh)>;

// Not thread-safe: lives on the event loop. One request each.
class Exchange {
 public:
  explicit Exchange(ChannelPool& pool, ExchangeOptions options = {});
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Sends and waits for the head of the answer. `is_answer` may be empty.
  // `careful`: the request must not meet a connection that is being closed.
  Awaitable<ExchangeState> Start(Tcp::endpoint endpoint,
                                 OutgoingRequest request,
                                 AnswerFilter is_answer,
                                 bool careful);
  // The next bytes of the body; empty if there are none (see state()).
  Awaitable<std::string_view> Next();
  // Reads the rest of the body, up to `max_bytes`; more leaves kBroken.
  Awaitable<std::string> Rest(std::size_t max_bytes);
  // Resets the connection, so that no byte of the request arrives later;
  // whatever waits ends with kCancelled.
  void Cancel() noexcept;

  ExchangeState state() const noexcept { return state_; }
  // Whether bytes of the request may have left this process.
  bool sent() const noexcept { return sending_ != nullptr; }
  // Whether the other end did not acknowledge the whole request in time, and
  // the connection was reset for it. Bytes that are on their way then are lost;
  // the other end has them all the same if only its way back is cut.
  bool unacknowledged() const noexcept;
  // Of the answer; valid from kHead on.
  const ResponseHead& head() const;

 private:
  struct Sending;
  // Ends the exchange if its request is not acknowledged in time.
  void WatchSending();
  using Parser = http::response_parser<http::buffer_body>;

  void Send(OutgoingRequest request);
  Awaitable<bool> ReadHead(const AnswerFilter& is_answer);
  Awaitable<bool> SkipBody();
  bool IsOurs(const AnswerFilter& is_answer, int skipped) const;
  void MakeParser();
  void Finish();
  void Fail();

  ChannelPool& pool_;
  const ExchangeOptions options_;
  std::shared_ptr<Channel> channel_;
  std::shared_ptr<Sending> sending_;
  std::unique_ptr<Parser> parser_;
  std::array<char, 8192> piece_{};
  ExchangeState state_ = ExchangeState::kNotSent;
  // The answer being read is another request's.
  bool skipping_ = false;
};

// Ends an exchange when a time has passed, unless destroyed before.
class CancelAfter {
 public:
  CancelAfter(asio::io_context& loop, Exchange& exchange, base::Duration wait);
  ~CancelAfter();
  CancelAfter(const CancelAfter&) = delete;
  CancelAfter& operator=(const CancelAfter&) = delete;

 private:
  std::shared_ptr<bool> armed_ = std::make_shared<bool>(true);
  asio::steady_timer timer_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_EXCHANGE_H_
