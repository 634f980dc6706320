#include "review/stand_ins_2/wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace lynxglade::review {

namespace {

constexpr int kBacklog = 512;
constexpr std::string_view kLineEnd = "\r\n";

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Bind(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
      0) {
    std::perror("bind");
    std::exit(2);
  }
  return fd;
}

void NoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Word(const std::string& line, int index) {
  std::size_t begin = 0;
  for (; index > 0 && begin != std::string::npos; --index) {
    begin = line.find(' ', begin);
    begin = begin == std::string::npos ? begin : begin + 1;
  }
  return begin == std::string::npos
             ? std::string()
             : line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

std::string Message::Method() const {
  return Word(start, 0);
}

std::string Message::Target() const {
  return Word(start, 1);
}

int Message::Status() const {
  return std::atoi(Word(start, 1).c_str());
}

Socket::~Socket() {
  Close();
}

Socket::Socket(Socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  buffer_ = std::move(other.buffer_);
  return *this;
}

bool Socket::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Socket::Fill() {
  std::array<char, 65536> buf{};
  const ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

std::optional<std::string> Socket::ReadUntil(std::string_view end) {
  std::size_t at = buffer_.find(end);
  while (at == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
    at = buffer_.find(end);
  }
  std::string text = buffer_.substr(0, at + end.size());
  buffer_.erase(0, at + end.size());
  return text;
}

std::optional<std::string> Socket::ReadExactly(std::size_t n) {
  while (buffer_.size() < n) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  std::string text = buffer_.substr(0, n);
  buffer_.erase(0, n);
  return text;
}

std::optional<Message> Socket::ReadHead() {
  const auto text = ReadUntil("\r\n\r\n");
  if (!text) {
    return std::nullopt;
  }
  Message message;
  std::size_t begin = text->find(kLineEnd);
  message.start = text->substr(0, begin);
  begin += kLineEnd.size();
  while (begin + kLineEnd.size() < text->size()) {
    const std::size_t end = text->find(kLineEnd, begin);
    const std::string line = text->substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    begin = end + kLineEnd.size();
  }
  return message;
}

std::optional<Message> Socket::ReadMessage() {
  auto message = ReadHead();
  if (!message) {
    return std::nullopt;
  }
  if (Lower(message->Field("transfer-encoding")) == "chunked") {
    while (true) {
      const auto line = ReadUntil(kLineEnd);
      const std::size_t n = line ? std::strtoul(line->c_str(), nullptr, 16) : 0;
      const auto bytes = line ? ReadExactly(n + kLineEnd.size()) : std::nullopt;
      if (!bytes) {
        return std::nullopt;
      }
      if (n == 0) {
        return message;
      }
      message->body.append(*bytes, 0, n);
    }
  }
  auto body = ReadExactly(
      std::strtoul(message->Field("content-length").c_str(), nullptr, 10));
  if (!body) {
    return std::nullopt;
  }
  message->body = std::move(*body);
  return message;
}

void Socket::SetReadTimeout(Millis timeout) const {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timeval value{};
  value.tv_sec = seconds.count();
  value.tv_usec =
      std::chrono::duration_cast<std::chrono::microseconds>(timeout - seconds)
          .count();
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

void Socket::Reset() {
  const linger option{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  Close();
}

void Socket::Close() {
  if (fd_ >= 0) {
    ::close(std::exchange(fd_, -1));
  }
}

Socket Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(fd);
    return Socket();
  }
  NoDelay(fd);
  return Socket(fd);
}

Listener::Listener(Handler handler, int port) {
  const int fd = Bind(port);
  ::listen(fd, kBacklog);
  port_ = PortOf(fd);
  std::thread([fd, handler = std::move(handler)] {
    while (true) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      NoDelay(accepted);
      std::thread([handler, accepted] { handler(Socket(accepted)); }).detach();
    }
  }).detach();
}

// The socket stays bound, so that nobody else gets the port; as it does not
// listen, a process that reuses addresses can.
int FreePort() {
  return PortOf(Bind(0));
}

std::string Answer(int status, std::string_view fields, std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" +
         std::string(fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

}  // namespace lynxglade::review
