#include "fakes/details/connection_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace lynxglade::fakes {

namespace {

constexpr int kReadTimeoutMs = 30'000;
constexpr timeval kWriteTimeout{30, 0};

bool PollFor(int fd, short events, int timeout_ms) {
  pollfd entry{fd, events, 0};
  int n = 0;
  do {
    n = ::poll(&entry, 1, timeout_ms);
  } while (n < 0 && errno == EINTR);
  return n > 0;
}

void Describe(const sockaddr_in& from, std::string& ip, int& port) {
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(from.sin_port);
}

}  // namespace

ConnectionStream::ConnectionStream(int fd) noexcept : fd_(fd) {
  ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &kWriteTimeout,
               sizeof(kWriteTimeout));
}

bool ConnectionStream::is_readable() const {
  return begin_ < end_ || PollFor(fd_, POLLIN, kReadTimeoutMs);
}

bool ConnectionStream::is_writable() const {
  // The socket is blocking with a send timeout, so no poll() per write is
  // needed.
  return IsAlive();
}

ssize_t ConnectionStream::read(char* ptr, std::size_t size) {
  if (begin_ == end_) {
    if (!PollFor(fd_, POLLIN, kReadTimeoutMs)) {
      return -1;
    }
    const ssize_t n = ::recv(fd_, buf_.data(), buf_.size(), 0);
    if (n <= 0) {
      return n;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(n);
  }
  const std::size_t n = std::min(size, end_ - begin_);
  std::memcpy(ptr, buf_.data() + begin_, n);
  begin_ += n;
  return static_cast<ssize_t>(n);
}

ssize_t ConnectionStream::write(const char* ptr, std::size_t size) {
  ssize_t n = 0;
  do {
    n = ::send(fd_, ptr, size, MSG_NOSIGNAL);
  } while (n < 0 && errno == EINTR);
  return n;
}

void ConnectionStream::get_remote_ip_and_port(std::string& ip,
                                              int& port) const {
  sockaddr_in from{};
  socklen_t n = sizeof(from);
  ::getpeername(fd_, reinterpret_cast<sockaddr*>(&from), &n);
  Describe(from, ip, port);
}

void ConnectionStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in from{};
  socklen_t n = sizeof(from);
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&from), &n);
  Describe(from, ip, port);
}

bool ConnectionStream::WaitReadable(int timeout_ms) const {
  return begin_ < end_ || (PollFor(fd_, POLLIN, timeout_ms) && IsAlive());
}

bool ConnectionStream::IsAlive() const {
  char byte = 0;
  const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

}  // namespace lynxglade::fakes
