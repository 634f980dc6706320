#include "connection/event/socket_probe.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <gtest/gtest.h>

#include "connection/event/channel_pool.h"

namespace lynxglade::connection::event {
namespace {

int TcpOption(Tcp::socket& socket, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  EXPECT_EQ(
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size),
      0);
  return value;
}

// Guards against a keep-alive that gives up at another time than stated: with
// TCP_USER_TIMEOUT set the kernel ignores the count of lost probes, and ends a
// silent connection at the first probe interval after both are over.
TEST(SocketProbe, SilentConnectionsEndWhenStated) {
  asio::io_context loop;
  Tcp::acceptor acceptor(loop,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  for (const int ms : {500, 2000, 5000}) {
    const base::Duration user_timeout = std::chrono::milliseconds(ms);
    Tcp::socket socket(loop);
    socket.connect(acceptor.local_endpoint());
    TuneSocket(socket, user_timeout);
    EXPECT_EQ(TcpOption(socket, TCP_USER_TIMEOUT), ms);
    const base::Duration first_probe =
        std::chrono::seconds(TcpOption(socket, TCP_KEEPIDLE));
    const base::Duration interval =
        std::chrono::seconds(TcpOption(socket, TCP_KEEPINTVL));
    base::Duration end = first_probe + interval;
    while (end < user_timeout) {
      end += interval;
    }
    EXPECT_EQ(SilenceLimit(user_timeout), end) << ms;
  }
}

// The exchange resets a connection that is not acknowledged itself: the kernel
// must not have ended it before.
TEST(SocketProbe, IdleConnectionsOutliveTheirLastRequest) {
  const ChannelPoolOptions pool;
  EXPECT_GE(SilenceLimit(pool.user_timeout),
            pool.max_idle + std::chrono::milliseconds(900));
}

}  // namespace
}  // namespace lynxglade::connection::event
