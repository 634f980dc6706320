// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of a case.
#ifndef LYNXGLADE_REVIEW_STAND_INS_2_WIRE_H_
#define LYNXGLADE_REVIEW_STAND_INS_2_WIRE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lynxglade::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Header names are in lower case.
struct Message {
  // Request line or status line.
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  // Of a request.
  std::string Method() const;
  std::string Target() const;
  // Of an answer; 0 if it is malformed.
  int Status() const;
};

// A connection; closed by the destructor.
class Socket {
 public:
  explicit Socket(int fd = -1) noexcept : fd_(fd) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool is_open() const noexcept { return fd_ >= 0; }
  int fd() const noexcept { return fd_; }
  bool Send(std::string_view bytes) const;
  // Bytes up to and including `end`, or nothing if the connection ends before.
  std::optional<std::string> ReadUntil(std::string_view end);
  std::optional<std::string> ReadExactly(std::size_t n);
  // A head, and a body with a length or in chunks.
  std::optional<Message> ReadMessage();
  std::optional<Message> ReadHead();
  // Reads of this connection fail after `timeout`.
  void SetReadTimeout(Millis timeout) const;
  // Ends the connection with a reset.
  void Reset();
  void Close();

 private:
  bool Fill();

  int fd_;
  std::string buffer_;
};

Socket Connect(int port);

// Serves each connection to 127.0.0.1 on a thread of its own, until the process
// ends.
class Listener {
 public:
  using Handler = std::function<void(Socket)>;

  // Port 0: a free one.
  explicit Listener(Handler handler, int port = 0);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int port() const noexcept { return port_; }

 private:
  int port_ = 0;
};

// A port that is kept free for a process of this test.
int FreePort();

// Text of an answer with a length.
std::string Answer(int status,
                   std::string_view fields,
                   std::string_view body = {});

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_2_WIRE_H_
