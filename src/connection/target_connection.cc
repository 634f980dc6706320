#include "connection/target_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "connection/answer_head.h"

namespace lynxglade::connection {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLastBytes = 3;
// A head, and any line that delimits chunks, that is longer is no answer. The
// library keeps them whole.
constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;

milliseconds Timeout(time_t seconds, time_t microseconds) {
  return std::chrono::ceil<milliseconds>(
      std::chrono::seconds(seconds) + std::chrono::microseconds(microseconds));
}

// Whether the socket is ready within `timeout`, or has ended.
bool Await(socket_t socket, short events, milliseconds timeout) {
  pollfd fd{.fd = socket, .events = events, .revents = 0};
  int n = 0;
  do {
    n = ::poll(&fd, 1, static_cast<int>(timeout.count()));
  } while (n < 0 && errno == EINTR);
  return n > 0;
}

// Reads ahead, as the library reads lines byte by byte.
class SocketStream : public httplib::Stream {
 public:
  SocketStream(socket_t socket,
               milliseconds read_timeout,
               milliseconds write_timeout,
               std::string* last_bytes)
      : socket_(socket),
        read_timeout_(read_timeout),
        write_timeout_(write_timeout),
        last_bytes_(last_bytes) {}

  bool is_readable() const override {
    return begin_ < end_ || Await(socket_, POLLIN, read_timeout_);
  }
  bool is_writable() const override {
    return Await(socket_, POLLOUT, write_timeout_);
  }

  ssize_t read(char* ptr, std::size_t size) override {
    if (begin_ == end_) {
      const ssize_t n = Fill();
      if (n <= 0) {
        return n;
      }
    }
    const std::size_t n = std::min(size, end_ - begin_);
    if (!CheckLineByte(size, buf_.at(begin_))) {
      return -1;
    }
    std::copy_n(buf_.data() + begin_, n, ptr);
    Remember({buf_.data() + begin_, n});
    begin_ += n;
    return static_cast<ssize_t>(n);
  }

  ssize_t write(const char* ptr, std::size_t size) override {
    if (!is_writable()) {
      return -1;
    }
    ssize_t n = 0;
    do {
      n = ::send(socket_, ptr, size, MSG_NOSIGNAL);
    } while (n < 0 && errno == EINTR);
    return n;
  }

  // Not asked for by clients.
  void get_remote_ip_and_port(std::string& /*ip*/,
                              int& /*port*/) const override {}
  void get_local_ip_and_port(std::string& /*ip*/,
                             int& /*port*/) const override {}
  socket_t socket() const override { return socket_; }

 private:
  ssize_t Fill() {
    if (!Await(socket_, POLLIN, read_timeout_)) {
      return -1;
    }
    ssize_t n = 0;
    do {
      n = ::recv(socket_, buf_.data(), buf_.size(), 0);
    } while (n < 0 && errno == EINTR);
    begin_ = 0;
    end_ = static_cast<std::size_t>(std::max<ssize_t>(n, 0));
    return n;
  }

  // The library reads lines byte by byte, and bodies in larger pieces. Returns
  // whether the line is within its bound, and the head is a valid one.
  bool CheckLineByte(std::size_t size, char byte) {
    if (size > 1) {
      line_bytes_ = 0;
      return true;
    }
    line_bytes_ = byte == '\n' ? 0 : line_bytes_ + 1;
    if (head_.complete()) {
      return line_bytes_ <= kMaxHeadBytes;
    }
    ++head_bytes_;
    line_ += byte;
    if (byte != '\n') {
      return head_bytes_ <= kMaxHeadBytes;
    }
    return head_bytes_ <= kMaxHeadBytes &&
           head_.Take(std::exchange(line_, std::string()));
  }

  void Remember(std::string_view bytes) {
    last_bytes_->append(
        bytes.substr(bytes.size() - std::min(bytes.size(), kLastBytes)));
    last_bytes_->erase(
        0, last_bytes_->size() - std::min(last_bytes_->size(), kLastBytes));
  }

  const socket_t socket_;
  const milliseconds read_timeout_;
  const milliseconds write_timeout_;
  std::string* const last_bytes_;
  AnswerHead head_;
  // The part of the head's line that was read.
  std::string line_;
  std::size_t head_bytes_ = 0;
  std::size_t line_bytes_ = 0;
  std::array<char, 4096> buf_{};
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace

bool TargetConnection::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> callback) {
  last_bytes_.clear();
  SocketStream stream(
      socket.sock, Timeout(read_timeout_sec_, read_timeout_usec_),
      Timeout(write_timeout_sec_, write_timeout_usec_), &last_bytes_);
  return callback(stream);
}

}  // namespace lynxglade::connection
