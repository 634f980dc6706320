#include "connection/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace lynxglade::connection {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLength = "Content-Length: ";

// Length of the complete request, or npos if its head is incomplete.
std::size_t RequestSize(const std::string& text) {
  const std::size_t head = text.find(kHeadEnd);
  if (head == std::string::npos) {
    return std::string::npos;
  }
  const std::size_t at = text.find(kLength);
  const std::size_t body =
      at < head ? std::strtoul(text.c_str() + at + kLength.size(), nullptr, 10)
                : 0;
  return head + kHeadEnd.size() + body;
}

}  // namespace

ScriptedServer::ScriptedServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(listener_, generic, size) != 0 || ::listen(listener_, 64) != 0 ||
      ::getsockname(listener_, generic, &size) != 0) {
    std::abort();
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

ScriptedServer::~ScriptedServer() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
    std::ranges::for_each(fds_, [](int fd) { ::shutdown(fd, SHUT_RDWR); });
  }
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  std::ranges::for_each(talkers_, [](std::thread& t) { t.join(); });
  std::ranges::for_each(fds_, [](int fd) { ::close(fd); });
  ::close(listener_);
}

void ScriptedServer::Crash() {
  const std::lock_guard lock(mutex_);
  ending_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  std::ranges::for_each(fds_, Reset);
}

int ScriptedServer::connections() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(fds_.size());
}

std::vector<std::string> ScriptedServer::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void ScriptedServer::Accept() {
  while (true) {
    const int fd = ::accept(listener_, nullptr, nullptr);
    const std::lock_guard lock(mutex_);
    if (fd < 0 || ending_) {
      if (fd >= 0) {
        ::close(fd);
      }
      return;
    }
    fds_.push_back(fd);
    talkers_.emplace_back([this, fd] { Talk(fd); });
  }
}

void ScriptedServer::Talk(int fd) {
  std::string request;
  while (ReadRequest(fd, &request)) {
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
    }
    const Reply reply = handler_(request);
    Send(fd, reply);
    if (reply.then != Then::kKeep) {
      End(fd, reply.then);
      CountEnded();
      return;
    }
  }
  ::shutdown(fd, SHUT_RDWR);
  CountEnded();
}

void ScriptedServer::Send(int fd, const Reply& reply) {
  if (reply.piece_bytes > 0) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  std::string_view rest = reply.bytes;
  while (!rest.empty()) {
    const std::string_view piece =
        rest.substr(0, reply.piece_bytes > 0 ? reply.piece_bytes : rest.size());
    const ssize_t n = ::send(fd, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    rest.remove_prefix(static_cast<std::size_t>(n));
  }
}

void ScriptedServer::CountEnded() {
  const std::lock_guard lock(mutex_);
  ++ended_;
  ended_changed_.notify_all();
}

bool ScriptedServer::AwaitEnded(int count) {
  std::unique_lock lock(mutex_);
  return ended_changed_.wait_for(lock, std::chrono::seconds(10),
                                 [&] { return ended_ >= count; });
}

bool ScriptedServer::ReadRequest(int fd, std::string* request) {
  request->clear();
  std::array<char, 4096> buf{};
  while (request->size() < RequestSize(*request)) {
    const ssize_t n = ::recv(fd, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return false;
    }
    request->append(buf.data(), static_cast<std::size_t>(n));
  }
  return true;
}

void ScriptedServer::End(int fd, Then then) {
  if (then == Then::kHang) {
    // Waits until the peer closes.
    char byte = 0;
    while (::recv(fd, &byte, 1, 0) > 0) {
    }
  }
  if (then == Then::kReset) {
    Reset(fd);
    return;
  }
  ::shutdown(fd, SHUT_RDWR);
}

// connect() with AF_UNSPEC resets the connection and keeps the descriptor open.
void ScriptedServer::Reset(int fd) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (::connect(fd, &none, sizeof(none)) != 0) {
    ::shutdown(fd, SHUT_RDWR);
  }
}

}  // namespace lynxglade::connection
