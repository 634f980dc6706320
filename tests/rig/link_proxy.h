// Forwards TCP connections on loopback to a port, and disturbs them: bytes are
// delayed in pieces, held back, or their connections reset.
#ifndef LYNXGLADE_TESTS_RIG_LINK_PROXY_H_
#define LYNXGLADE_TESTS_RIG_LINK_PROXY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::rig {

// Not thread-safe: runs on the event loop.
class LinkProxy {
 public:
  LinkProxy(connection::event::asio::io_context& loop,
            std::uint16_t port,
            std::uint16_t target_port);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  // Accepts connections until the loop stops.
  connection::event::Awaitable<void> Run();
  // While stalled, no bytes pass in either direction.
  void SetStalled(bool stalled) noexcept { stalled_ = stalled; }
  // Pause before each piece of up to 8 KB.
  void SetDelay(base::Duration delay) noexcept { delay_ = delay; }
  void ResetAll();

 private:
  struct Link;
  using Socket = connection::event::Tcp::socket;

  connection::event::Awaitable<void> Serve(std::shared_ptr<Link> link);
  connection::event::Awaitable<void> Copy(std::shared_ptr<Link> link,
                                          Socket& from,
                                          Socket& to);

  connection::event::asio::io_context& loop_;
  connection::event::Tcp::acceptor acceptor_;
  const connection::event::Tcp::endpoint target_;
  bool stalled_ = false;
  base::Duration delay_{};
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_LINK_PROXY_H_
