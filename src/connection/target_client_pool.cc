#include "connection/target_client_pool.h"

#include <poll.h>

#include <algorithm>
#include <iterator>

namespace lynxglade::connection {

namespace {

// A kept connection is usable when nothing can be read from it: readable means
// closed by the peer, or bytes that belong to no request of ours.
bool IsQuiet(const httplib::Client& client) noexcept {
  pollfd fd{.fd = client.socket(), .events = POLLIN, .revents = 0};
  return fd.fd >= 0 && ::poll(&fd, 1, 0) == 0;
}

}  // namespace

TargetConnectionPool::TargetConnectionPool(base::Clock clock, Options options)
    : clock_(std::move(clock)), options_(options) {}

std::unique_ptr<httplib::Client>
TargetConnectionPool::Take(const std::string& address, int port, bool fresh) {
  while (!fresh) {
    std::unique_ptr<httplib::Client> client = TakeIdle({address, port});
    if (!client) {
      break;
    }
    if (IsQuiet(*client)) {
      return client;
    }
  }
  return Make(address, port);
}

std::unique_ptr<httplib::Client> TargetConnectionPool::TakeIdle(
    const Endpoint& endpoint) {
  const base::Time oldest = clock_() - options_.idle_timeout;
  const std::lock_guard lock(mutex_);
  const auto it = idle_.find(endpoint);
  // The one used last is the one most likely still open.
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
                                std::unique_ptr<httplib::Client> client) {
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
    // Oldest first, since they are taken and given back at the end.
    const auto end = std::ranges::find_if(
        idle, [oldest](const Idle& i) { return i.since > oldest; });
    closing.insert(closing.end(), std::make_move_iterator(idle.begin()),
                   std::make_move_iterator(end));
    idle.erase(idle.begin(), end);
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::unique_ptr<httplib::Client> TargetConnectionPool::Make(
    const std::string& address,
    int port) const {
  auto client = std::make_unique<httplib::Client>(address, port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_follow_location(false);
  // Paths and bodies pass through as they are.
  client->set_url_encode(false);
  client->set_decompress(false);
  client->set_connection_timeout(options_.connect_timeout);
  client->set_write_timeout(options_.write_timeout);
  return client;
}

}  // namespace lynxglade::connection
