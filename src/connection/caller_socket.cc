#include "connection/caller_socket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lynxglade::connection {

namespace {

// A process of this system has a few thousand.
constexpr rlim_t kMostDescriptors = 1 << 16;
// Most requests are answered sooner, and need no search.
constexpr base::Duration kYoung = std::chrono::milliseconds(300);

using GetName = int (*)(int, sockaddr*, socklen_t*);

// Whether the descriptor's address is that one. The port is compared first,
// since it rules out nearly all others and costs no text.
bool HasName(int fd, GetName get, const SocketName& name) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (get(fd, generic, &size) != 0) {
    return false;
  }
  // Port and family stand at the same place for both families.
  const bool internet =
      address.ss_family == AF_INET || address.ss_family == AF_INET6;
  const auto* in = reinterpret_cast<const sockaddr_in*>(&address);
  if (!internet || ntohs(in->sin_port) != name.port) {
    return false;
  }
  std::array<char, NI_MAXHOST> host{};
  return ::getnameinfo(generic, size, host.data(), host.size(), nullptr, 0,
                       NI_NUMERICHOST) == 0 &&
         name.address == host.data();
}

// A connection's two names belong to one descriptor only. Descriptors are
// given out from 0 on, so trying them in turn is quicker than listing them.
std::optional<int> FindDescriptor(const SocketName& local,
                                  const SocketName& remote) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const int end = static_cast<int>(std::min(limit.rlim_cur, kMostDescriptors));
  for (int fd = 0; fd < end; ++fd) {
    if (HasName(fd, &::getpeername, remote) &&
        HasName(fd, &::getsockname, local)) {
      return fd;
    }
  }
  return std::nullopt;
}

}  // namespace

CallerSocket::CallerSocket(SocketName local, SocketName remote)
    : local_(std::move(local)),
      remote_(std::move(remote)),
      since_(base::BootClock::now()) {}

bool CallerSocket::Closed() const {
  if (base::BootClock::now() - since_ < kYoung) {
    return false;
  }
  std::call_once(looked_, [this] { fd_ = FindDescriptor(local_, remote_); });
  if (!fd_) {
    return false;
  }
  pollfd entry{.fd = *fd_, .events = POLLRDHUP, .revents = 0};
  return ::poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace lynxglade::connection
