#include "connection/event/socket_probe.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <tuple>

namespace lynxglade::connection::event {

namespace {

// An idle connection to a dead peer ends about five seconds after the last
// byte: TCP_USER_TIMEOUT replaces the count of lost probes, so that the first
// one that is not answered ends a connection which has been silent for that
// long. This is longer than the longest idle time plus the acknowledgement
// timeout of a request, so that the exchange can still reset the connection
// itself.
constexpr int kProbeAfterSeconds = 4;
constexpr int kProbeEverySeconds = 1;

enum class Input { kNone, kBytes, kEnd };

Input Peek(Tcp::socket& socket) noexcept {
  char byte = 0;
  const ssize_t n =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return Input::kBytes;
  }
  const bool none = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return none ? Input::kNone : Input::kEnd;
}

void SetTcpOption(Tcp::socket& socket, int option, int value) noexcept {
  setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
             sizeof(value));
}

}  // namespace

bool HasInput(Tcp::socket& socket) noexcept {
  return Peek(socket) != Input::kNone;
}

bool PeerClosed(Tcp::socket& socket) noexcept {
  return Peek(socket) == Input::kEnd;
}

bool HasPeerClosedItsSide(Tcp::socket& socket) noexcept {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

int UnacknowledgedBytes(Tcp::socket& socket) noexcept {
  int queued = 0;
  int unsent = 0;
  const int fd = socket.native_handle();
  const bool known = ::ioctl(fd, SIOCOUTQ, &queued) == 0 &&
                     ::ioctl(fd, SIOCOUTQNSD, &unsent) == 0;
  return known ? queued - unsent : 0;
}

void CloseSocket(Tcp::socket& socket) noexcept {
  ErrorCode ec;
  std::ignore = socket.close(ec);
}

void ResetSocket(Tcp::socket& socket) noexcept {
  ErrorCode ec;
  std::ignore = socket.set_option(asio::socket_base::linger(true, 0), ec);
  CloseSocket(socket);
}

// Set past Asio, which clears an option of its own before the destructor
// closes.
void SetResetOnClose(Tcp::socket& socket, bool reset) noexcept {
  const linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

void ShutdownAndClose(Tcp::socket& socket) noexcept {
  ErrorCode ec;
  std::ignore = socket.shutdown(Tcp::socket::shutdown_send, ec);
  CloseSocket(socket);
}

void CancelWaits(Tcp::socket& socket) noexcept {
  ErrorCode ec;
  std::ignore = socket.cancel(ec);
}

base::Duration SilenceLimit(base::Duration user_timeout) noexcept {
  return std::max(base::Duration(std::chrono::seconds(kProbeAfterSeconds +
                                                      kProbeEverySeconds)),
                  user_timeout);
}

void TuneSocket(Tcp::socket& socket, base::Duration user_timeout) noexcept {
  ErrorCode ec;
  std::ignore = socket.set_option(Tcp::no_delay(true), ec);
  std::ignore = socket.set_option(asio::socket_base::keep_alive(true), ec);
  SetTcpOption(socket, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetTcpOption(socket, TCP_KEEPINTVL, kProbeEverySeconds);
  SetTcpOption(socket, TCP_USER_TIMEOUT,
               static_cast<int>(base::ToMillis(user_timeout)));
}

}  // namespace lynxglade::connection::event
