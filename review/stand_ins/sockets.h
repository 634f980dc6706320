// Blocking sockets on loopback for the stand-ins. Independent of the transport
// under test.
#ifndef LYNXGLADE_REVIEW_STAND_INS_SOCKETS_H_
#define LYNXGLADE_REVIEW_STAND_INS_SOCKETS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lynxglade::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Closes the descriptor on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  int fd() const noexcept { return fd_; }
  bool is_open() const noexcept { return fd_ >= 0; }
  void Close() noexcept;
  // The peer sees a reset instead of an orderly end.
  void Reset() noexcept;

 private:
  int fd_ = -1;
};

// Listens on `port` of 127.0.0.1, or on a free one if it is 0.
Socket Listen(std::uint16_t port);
// Not open if the port is in use.
Socket TryListen(std::uint16_t port);
std::uint16_t PortOf(const Socket& listener);
// A port that was free at the time of the call.
std::uint16_t FreePort();
// Not open if the peer refuses.
Socket Connect(std::uint16_t port);
// Does not wait for an answer.
Socket BeginConnect(std::uint16_t port);
bool SendAll(const Socket& socket, std::string_view bytes);

// Header names in lower case.
using Headers = std::map<std::string, std::string>;

struct Message {
  // Request or status line.
  std::string start;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

// How reading a message ended.
enum class ReadEnd { kWhole, kClosed, kTimeout };

// Reads messages one after another from a connection.
class MessageReader {
 public:
  explicit MessageReader(const Socket& socket) : socket_(socket) {}
  // Whether there is something to read before the time is over.
  bool Await(Clock::time_point until);
  // `until_close`: a body without a length ends with the connection.
  ReadEnd Read(Message* message, Clock::time_point until, bool until_close);

 private:
  // False once the connection has ended or the time is over.
  bool Fill(Clock::time_point until);
  bool FillTo(std::size_t size, Clock::time_point until);
  bool ReadChunks(std::string* body, Clock::time_point until);

  const Socket& socket_;
  std::string buffer_;
  bool timed_out_ = false;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_SOCKETS_H_
