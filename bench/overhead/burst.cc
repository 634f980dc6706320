#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <memory>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "overhead/measurements.h"

namespace lynxglade::bench {

namespace {

constexpr base::Duration kLongest = std::chrono::seconds(15);
constexpr int kPollMs = 100;
constexpr char kRequest[] =
    "GET /v1/models HTTP/1.1\r\nHost: burst\r\nX-Contract: measured\r\n"
    "Connection: close\r\n\r\n";

enum class BurstPhase { kConnecting, kWaiting, kEnded };

// One connection of the burst; owns its socket.
struct BurstConnection {
  explicit BurstConnection(int descriptor) : fd(descriptor) {}
  ~BurstConnection() { ::close(fd); }
  BurstConnection(const BurstConnection&) = delete;
  BurstConnection& operator=(const BurstConnection&) = delete;

  int fd;
  BurstPhase phase = BurstPhase::kConnecting;
  base::Time started = base::BootClock::now();
  double connect_s = 0;
  double first_byte_s = 0;
  bool failed = false;
};

double SecondsSince(base::Time start) {
  return std::chrono::duration<double>(base::BootClock::now() - start).count();
}

void End(BurstConnection& connection, bool failed) {
  connection.phase = BurstPhase::kEnded;
  connection.failed = failed;
}

std::unique_ptr<BurstConnection> Open(const Endpoint& entry) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(entry.port));
  ::inet_pton(AF_INET, entry.address.c_str(), &to.sin_addr);
  auto connection = std::make_unique<BurstConnection>(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
  const int result =
      ::connect(connection->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  // EINPROGRESS is expected; a later failure is reported by poll().
  if (result != 0 && errno != EINPROGRESS) {
    End(*connection, /*failed=*/true);
  }
  return connection;
}

void OnWritable(BurstConnection& connection) {
  int error = 0;
  socklen_t n = sizeof error;
  ::getsockopt(connection.fd, SOL_SOCKET, SO_ERROR, &error, &n);
  connection.connect_s = SecondsSince(connection.started);
  const auto length = static_cast<ssize_t>(std::strlen(kRequest));
  const bool sent =
      error == 0 && ::send(connection.fd, kRequest, std::strlen(kRequest),
                           MSG_NOSIGNAL) == length;
  if (!sent) {
    End(connection, /*failed=*/true);
    return;
  }
  connection.phase = BurstPhase::kWaiting;
}

void OnReadable(BurstConnection& connection) {
  char byte = 0;
  const bool read = ::recv(connection.fd, &byte, 1, 0) == 1;
  connection.first_byte_s = SecondsSince(connection.started);
  End(connection, /*failed=*/!read);
}

}  // namespace

BurstFindings MeasureBurst(const Endpoint& entry, std::size_t connections) {
  std::vector<std::unique_ptr<BurstConnection>> all;
  for (std::size_t i = 0; i < connections; ++i) {
    all.push_back(Open(entry));
  }
  const base::Time start = base::BootClock::now();
  const auto is_open = [](const auto& it) {
    return it->phase != BurstPhase::kEnded;
  };
  while (std::ranges::any_of(all, is_open) &&
         base::BootClock::now() - start < kLongest) {
    std::vector<pollfd> waits;
    std::vector<BurstConnection*> waiting;
    for (const auto& it : all) {
      if (is_open(it)) {
        const bool connecting = it->phase == BurstPhase::kConnecting;
        waits.push_back(
            {it->fd, static_cast<short>(connecting ? POLLOUT : POLLIN), 0});
        waiting.push_back(it.get());
      }
    }
    ::poll(waits.data(), waits.size(), kPollMs);
    for (std::size_t i = 0; i < waits.size(); ++i) {
      if (waits[i].revents == 0) {
        continue;
      }
      waiting[i]->phase == BurstPhase::kConnecting ? OnWritable(*waiting[i])
                                                   : OnReadable(*waiting[i]);
    }
  }
  BurstFindings findings;
  for (const auto& it : all) {
    if (it->failed || is_open(it)) {
      ++findings.failed;
      continue;
    }
    findings.connect_s.push_back(it->connect_s);
    findings.first_byte_s.push_back(it->first_byte_s);
  }
  return findings;
}

}  // namespace lynxglade::bench
