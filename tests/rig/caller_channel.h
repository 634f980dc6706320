// A connection of one of the rig's callers. Reads answers by the tests' own
// reader, so that its verdict does not depend on the transport under test.
#ifndef LYNXGLADE_TESTS_RIG_CALLER_CHANNEL_H_
#define LYNXGLADE_TESTS_RIG_CALLER_CHANNEL_H_

#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "connection/answer_text.h"
#include "connection/event/http_types.h"

namespace lynxglade::rig {

// Not thread-safe: runs on the event loop.
class CallerChannel {
 public:
  CallerChannel(connection::event::asio::io_context& loop,
                connection::event::Tcp::endpoint endpoint)
      : socket_(loop), endpoint_(endpoint) {}
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;

  // Returns false if nothing listens, or Leave() was called.
  connection::event::Awaitable<bool> Connect();
  // Returns false if not all could be written.
  connection::event::Awaitable<bool> Send(std::string bytes);
  // Waits for the next bytes, or the end of the connection, and adds them.
  connection::event::Awaitable<void> ReadSome(tests::AnswerText& answer);
  // Resets the connection; pending operations end.
  void Leave() noexcept;

  bool left() const noexcept { return left_; }
  // Whether the peer has neither closed it nor sent anything.
  bool idle();
  const connection::event::Tcp::endpoint& endpoint() const noexcept {
    return endpoint_;
  }

 private:
  connection::event::Tcp::socket socket_;
  const connection::event::Tcp::endpoint endpoint_;
  bool left_ = false;
};

// Leaves a channel after `wait`, unless destroyed before.
class LeaveAfter {
 public:
  LeaveAfter(connection::event::asio::io_context& loop,
             CallerChannel& channel,
             base::Duration wait);
  ~LeaveAfter();
  LeaveAfter(const LeaveAfter&) = delete;
  LeaveAfter& operator=(const LeaveAfter&) = delete;

 private:
  std::shared_ptr<bool> armed_ = std::make_shared<bool>(true);
  connection::event::asio::steady_timer timer_;
};

// Connections that were kept after their last answer. Not thread-safe.
class KeptChannels {
 public:
  explicit KeptChannels(base::Clock clock) : clock_(std::move(clock)) {}

  // Null if none was used lately.
  std::unique_ptr<CallerChannel> Take(
      const connection::event::Tcp::endpoint& endpoint);
  void Keep(std::unique_ptr<CallerChannel> channel);

 private:
  struct Kept {
    std::unique_ptr<CallerChannel> channel;
    base::Time since{};
  };

  const base::Clock clock_;
  std::multimap<connection::event::Tcp::endpoint, Kept> kept_;
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_CALLER_CHANNEL_H_
