// One HTTP request to a target or to the platform; the answer is read in
// pieces.
//
// The answer is read while the request is still being written, since the peer
// may answer early; the rest of the request is then not sent. The connection
// returns to the pool only after the request was written and the answer read
// completely.
#ifndef LYNXGLADE_CONNECTION_EVENT_EXCHANGE_H_
#define LYNXGLADE_CONNECTION_EVENT_EXCHANGE_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>

#include "connection/event/body_framing.h"
#include "connection/event/channel_pool.h"
#include "connection/event/http_types.h"
#include "connection/event/message_parser.h"

namespace lynxglade::connection::event {

enum class ExchangeState {
  // No connection was made; nothing was sent.
  kNotSent,
  // Bytes may have been sent, but no valid answer arrived: the connection
  // ended,
  // or the answer was malformed or belongs to another request.
  kBroken,
  // The head of the answer was read; the body may follow.
  kHead,
  // The complete answer was read.
  kWhole,
  // Ended by Cancel().
  kCancelled,
};

struct ExchangeOptions {
  // Limit on skipped answers that belong to earlier requests on a reused
  // connection.
  int max_foreign_answers = 4;
  // Limit on informational answers (1xx) before the final one.
  int max_informational_answers = 8;
  std::uint32_t max_head_bytes = 32 * 1024;
  // If the peer has not acknowledged all sent bytes within this time, the pool
  // is told.
  base::Duration suspect_timeout = std::chrono::milliseconds(200);
  // How often it is then asked whether the connection may still work.
  base::Duration suspect_period = std::chrono::milliseconds(100);
  // If it does not, or if the peer has not acknowledged within this time, the
  // connection is reset. Less than
  // TCP_USER_TIMEOUT, since a connection that the kernel has ended can no
  // longer be reset.
  base::Duration acknowledge_timeout = std::chrono::milliseconds(900);
};

// Returns whether an answer belongs to this request. `fresh` is true for the
// first answer on a connection, when no earlier answer can be outstanding.
using AnswerFilter = std::function<bool(const ResponseHead&, bool fresh)>;

// Not thread-safe: runs on the event loop. Carries one request; the destructor
// cancels it.
class Exchange {
 public:
  explicit Exchange(ChannelPool& pool, ExchangeOptions options = {});
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Sends the request and waits for the head of the answer. `is_answer` may be
  // empty.
  Awaitable<ExchangeState> Start(Tcp::endpoint endpoint,
                                 OutgoingRequest request,
                                 AnswerFilter is_answer,
                                 ChannelReuse reuse);
  // Returns the next bytes of the body, valid until the next call; empty at the
  // end or on an error (see state()).
  Awaitable<std::string_view> ReadSome();
  // Reads the rest of the body. A body longer than `max_bytes` ends in kBroken.
  Awaitable<std::string> ReadRest(std::size_t max_bytes);
  // Resets the connection, so that no byte of the request arrives later. The
  // state becomes kCancelled unless the answer is complete.
  void Cancel() noexcept;

  ExchangeState state() const noexcept { return state_; }
  // Whether bytes of the request may have been sent.
  bool sent() const noexcept { return sending_ != nullptr; }
  // Whether the connection was reset because the peer did not acknowledge the
  // request in time. The peer may still have received it, if only the path back
  // is broken.
  bool unacknowledged() const noexcept;
  // The instance through which the connection leads; empty if it is direct.
  const base::InstanceId& via() const noexcept { return via_; }
  // How the connection was made; nothing if a kept one was used.
  std::optional<ConnectEnd> connect_end() const noexcept {
    return connect_end_;
  }
  // Head of the answer, without its trailers; valid once state() is kHead or
  // kWhole.
  const ResponseHead& head() const noexcept { return head_; }
  BodyFraming framing() const;
  // Why there is no whole answer, in a few words; empty if there is one, and
  // after Cancel().
  const std::string& fault() const noexcept { return fault_; }

 private:
  struct Sending;
  // Tells the pool if the request is not acknowledged soon, and resets the
  // connection if it is not in time.
  void WatchSending();
  static void WatchSuspect(const ChannelPool& pool,
                           const ExchangeOptions& options,
                           const std::weak_ptr<Sending>& sending,
                           const std::shared_ptr<Channel>& channel,
                           base::Duration waited);
  using Parser = ResponseParser<http::buffer_body>;

  void Send(OutgoingRequest request);
  Awaitable<bool> ReadHead(const AnswerFilter& is_answer);
  Awaitable<bool> SkipBody();
  bool IsOurs(const AnswerFilter& is_answer, int skipped) const;
  void MakeParser();
  // Ends the reading of a complete body, unless only a reset ended it.
  Awaitable<void> EndBody();
  void Finish();
  void Fail(std::string fault);

  ChannelPool& pool_;
  const ExchangeOptions options_;
  std::shared_ptr<Channel> channel_;
  std::shared_ptr<Sending> sending_;
  std::unique_ptr<Parser> parser_;
  ResponseHead head_;
  std::array<char, 8192> piece_{};
  ExchangeState state_ = ExchangeState::kNotSent;
  std::optional<ConnectEnd> connect_end_;
  std::string fault_;
  base::InstanceId via_;
  // The answer being read belongs to another request.
  bool skipping_ = false;
};

// Cancels an exchange after `wait`, unless destroyed before.
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
