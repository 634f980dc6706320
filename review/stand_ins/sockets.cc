#include "review/stand_ins/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <tuple>
#include <utility>

namespace lynxglade::review {

namespace {

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

}  // namespace

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Socket::~Socket() {
  Close();
}

void Socket::Close() noexcept {
  if (fd_ >= 0) {
    ::close(std::exchange(fd_, -1));
  }
}

void Socket::Reset() noexcept {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

Socket TryListen(std::uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(socket.fd(), 512) != 0) {
    socket.Close();
  }
  return socket;
}

Socket Listen(std::uint16_t port) {
  Socket socket = TryListen(port);
  if (!socket.is_open()) {
    std::abort();
  }
  return socket;
}

std::uint16_t PortOf(const Socket& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Below the ports that the kernel gives to connections, and apart from those of
// a case that runs at the same time.
std::uint16_t FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 16'000;
  constexpr int kPerProcess = 64;
  static std::atomic<int> next = ::getpid() * kPerProcess;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    if (TryListen(port).is_open()) {
      return port;
    }
  }
}

Socket Connect(std::uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    socket.Close();
    return socket;
  }
  const int on = 1;
  ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

Socket BeginConnect(std::uint16_t port) {
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = Loopback(port);
  std::ignore = ::connect(
      socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return socket;
}

bool SendAll(const Socket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n =
        ::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

bool MessageReader::Await(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  pollfd waiting{socket_.fd(), POLLIN, 0};
  return !buffer_.empty() ||
         ::poll(&waiting, 1,
                static_cast<int>(std::max<std::int64_t>(left, 0))) > 0;
}

bool MessageReader::Fill(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  pollfd waiting{socket_.fd(), POLLIN, 0};
  const int ready =
      ::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
  if (ready <= 0) {
    timed_out_ = true;
    return false;
  }
  std::array<char, 16384> buf{};
  const ssize_t n = ::recv(socket_.fd(), buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

bool MessageReader::FillTo(std::size_t size, Clock::time_point until) {
  while (buffer_.size() < size) {
    if (!Fill(until)) {
      return false;
    }
  }
  return true;
}

bool MessageReader::ReadChunks(std::string* body, Clock::time_point until) {
  while (true) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    if (!FillTo(end + 2 + size + 2, until)) {
      return false;
    }
    body->append(buffer_, end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

ReadEnd MessageReader::Read(Message* message,
                            Clock::time_point until,
                            bool until_close) {
  *message = {};
  timed_out_ = false;
  const auto ended = [this] {
    return timed_out_ ? ReadEnd::kTimeout : ReadEnd::kClosed;
  };
  std::size_t head = 0;
  while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return ended();
    }
  }
  std::size_t at = buffer_.find("\r\n");
  message->start = buffer_.substr(0, at);
  while (at < head) {
    const std::size_t begin = at + 2;
    at = buffer_.find("\r\n", begin);
    const std::size_t colon = buffer_.find(':', begin);
    const std::size_t value = buffer_.find_first_not_of(' ', colon + 1);
    message->headers[Lower(buffer_.substr(begin, colon - begin))] =
        value < at ? buffer_.substr(value, at - value) : std::string();
  }
  buffer_.erase(0, head + 4);
  if (message->Header("transfer-encoding") == "chunked") {
    return ReadChunks(&message->body, until) ? ReadEnd::kWhole : ended();
  }
  const std::string length = message->Header("content-length");
  if (length.empty() && until_close) {
    while (Fill(until)) {
    }
    message->body = std::exchange(buffer_, {});
    return timed_out_ ? ReadEnd::kTimeout : ReadEnd::kWhole;
  }
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  const bool whole = FillTo(size, until);
  message->body = buffer_.substr(0, size);
  buffer_.erase(0, message->body.size());
  return whole ? ReadEnd::kWhole : ended();
}

}  // namespace lynxglade::review
