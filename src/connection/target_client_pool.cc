#include "connection/target_client_pool.h"

#include <poll.h>

#include <algorithm>
#include <iterator>

namespace lynxglade::connection {

namespace {

// Whether an idle connection is usable. A readable one was closed by the target
// or has bytes that belong to no request.
bool IsUsable(const TargetConnection& client) noexcept {
  pollfd fd{.fd = client.socket(), .events = POLLIN, .revents = 0};
  return fd.fd >= 0 && ::poll(&fd, 1, 0) == 0;
}

}  // namespace

TargetConnectionPool::TargetConnectionPool(base::Clock clock, Options options)
    : clock_(std::move(clock)), options_(options) {}

std::unique_ptr<TargetConnection>
TargetConnectionPool::Take(const std::string& address, int port, bool fresh) {
  while (!fresh) {
    std::unique_ptr<TargetConnection> client = TakeIdle({address, port});
    if (!client) {
      break;
    }
    if (IsUsable(*client)) {
      return client;
    }
  }
  return Make(address, port);
}

std::unique_ptr<TargetConnection> TargetConnectionPool::TakeIdle(
    const Endpoint& endpoint) {
  const base::Time oldest = clock_() - options_.idle_timeout;
  const std::lock_guard lock(mutex_);
  const auto it = idle_.find(endpoint);
  // The most recently used connection is the most likely to be open.
  if (it == idle_.end() || it->second.empty() ||
      it->second.back().since <= oldest) {
    return nullptr;
  }
  auto client = std::move(it->second.back().client);
  it->second.pop_back();
  return client;
}

void TargetConnectionPool::Keep(const std::string& address,
                                int port,
                                std::unique_ptr<TargetConnection> client) {
  const std::lock_guard lock(mutex_);
  std::vector<Idle>& idle = idle_[{address, port}];
  if (idle.size() < options_.max_idle_per_target) {
    idle.push_back({.client = std::move(client), .since = clock_()});
  }
}

void TargetConnectionPool::CloseIdle() {
  const base::Time oldest = clock_() - options_.idle_timeout;
  std::vector<Idle> closing;
  const std::lock_guard lock(mutex_);
  for (auto& [endpoint, idle] : idle_) {
    // Sorted oldest first, since connections are taken and returned at the
    // back.
    const auto end = std::ranges::find_if(
        idle, [oldest](const Idle& i) { return i.since > oldest; });
    closing.insert(closing.end(), std::make_move_iterator(idle.begin()),
                   std::make_move_iterator(end));
    idle.erase(idle.begin(), end);
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::unique_ptr<TargetConnection> TargetConnectionPool::Make(
    const std::string& address,
    int port) const {
  auto client = std::make_unique<TargetConnection>(address, port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_follow_location(false);
  // Paths and bodies are passed through unchanged.
  client->set_url_encode(false);
  client->set_decompress(false);
  client->set_connection_timeout(options_.connect_timeout);
  client->set_write_timeout(options_.write_timeout);
  return client;
}

}  // namespace lynxglade::connection
