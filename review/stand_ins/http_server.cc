#include "review/stand_ins/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace lynxglade::review {

namespace {

constexpr Millis kPoll{50};
constexpr Millis kReadTimeout{10'000};

// The peer sees a reset, and the descriptor stays valid.
void ResetConnection(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (::connect(fd, &none, sizeof none) != 0) {
    ::shutdown(fd, SHUT_RDWR);
  }
}

}  // namespace

HttpServer::HttpServer(std::uint16_t port, Handler handler)
    : handler_(std::move(handler)),
      listener_(Listen(port)),
      port_(PortOf(listener_)),
      acceptor_([this] { Accept(); }) {}

HttpServer::~HttpServer() {
  End();
  for (const auto& it : connections_) {
    it->thread.join();
  }
}

void HttpServer::SilenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  std::ranges::for_each(connections_,
                        [](const auto& it) { it->silent = true; });
}

void HttpServer::SetSilent(bool silent) {
  silent_ = silent;
  if (silent) {
    SilenceOpenConnections();
  }
}

void HttpServer::GoDark() {
  constexpr int kFillers = 4;
  dark_ = true;
  SetSilent(true);
  ::listen(listener_.fd(), 0);
  for (int i = 0; i < kFillers; ++i) {
    fillers_.push_back(BeginConnect(port_));
  }
}

void HttpServer::End() {
  if (ended_.exchange(true)) {
    return;
  }
  ::shutdown(listener_.fd(), SHUT_RDWR);
  acceptor_.join();
  listener_.Close();
  const std::lock_guard lock(mutex_);
  std::ranges::for_each(
      connections_, [](const auto& it) { ResetConnection(it->socket.fd()); });
}

void HttpServer::Accept() {
  while (!ended_) {
    pollfd waiting{listener_.fd(), POLLIN, 0};
    if (dark_ || ::poll(&waiting, 1, static_cast<int>(kPoll.count())) <= 0) {
      std::this_thread::sleep_for(dark_ ? kPoll : Millis(0));
      continue;
    }
    Socket socket(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    const std::lock_guard lock(mutex_);
    if (!socket.is_open() || ended_) {
      continue;
    }
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connections_.push_back(std::make_unique<Connection>(std::move(socket)));
    Connection& connection = *connections_.back();
    connection.silent = silent_.load();
    connection.thread = std::thread([this, &connection] { Serve(connection); });
  }
}

std::optional<std::string> HttpServer::Handle(const Message& request) {
  const auto answer = busy_ ? std::optional<std::string>() : handler_(request);
  return busy_ ? Answer(429, {}, {}) : answer;
}

void HttpServer::Serve(Connection& connection) {
  MessageReader reader(connection.socket);
  while (!ended_) {
    if (connection.silent || !reader.Await(Clock::now() + kPoll)) {
      std::this_thread::sleep_for(connection.silent ? kPoll : Millis(0));
      continue;
    }
    Message request;
    if (reader.Read(&request, Clock::now() + kReadTimeout,
                    /*until_close=*/false) != ReadEnd::kWhole) {
      break;
    }
    if (down_) {
      connection.silent = true;
      continue;
    }
    const auto answer = connection.silent ? std::string() : Handle(request);
    if (!connection.silent &&
        (!answer || !SendAll(connection.socket, *answer))) {
      break;
    }
  }
  ResetConnection(connection.socket.fd());
}

std::string Answer(int status,
                   const std::string& headers,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace lynxglade::review
