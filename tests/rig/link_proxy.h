// Forwards TCP connections on loopback to a port, and disturbs them: bytes are
// delayed in pieces, held back, or their connections reset; or the link is cut.
#ifndef LYNXGLADE_TESTS_RIG_LINK_PROXY_H_
#define LYNXGLADE_TESTS_RIG_LINK_PROXY_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::rig {

// How a cut link treats connections.
enum class LinkCut {
  // None.
  kWhole,
  // New ones get no answer, and no bytes pass on those that are open.
  kSilent,
  // New ones are refused, and those that are open are reset.
  kReset,
  // New ones get no answer, those that are open work.
  kSilentToNew,
  // New ones are refused, those that are open work.
  kRefusesNew,
};
std::string_view ToString(LinkCut cut) noexcept;

// Not thread-safe: runs on the event loop.
class LinkProxy {
 public:
  LinkProxy(connection::event::asio::io_context& loop,
            std::uint16_t port,
            std::uint16_t target_port);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  std::uint16_t port() const noexcept { return endpoint_.port(); }
  // Accepts connections until the loop stops.
  connection::event::Awaitable<void> Run();
  // While stalled, no bytes pass in either direction.
  void SetStalled(bool stalled) noexcept { stalled_ = stalled; }
  // Pause before each piece of up to 8 KB.
  void SetDelay(base::Duration delay) noexcept { delay_ = delay; }
  void ResetAll();
  void SetCut(LinkCut cut);

 private:
  struct Link;
  using Socket = connection::event::Tcp::socket;

  // Takes the port without answering connections.
  void OccupyPort();
  void Listen();
  connection::event::Awaitable<void> Serve(std::shared_ptr<Link> link);
  connection::event::Awaitable<void> Copy(std::shared_ptr<Link> link,
                                          Socket& from,
                                          Socket& to);

  connection::event::asio::io_context& loop_;
  const connection::event::Tcp::endpoint endpoint_;
  connection::event::Tcp::acceptor acceptor_;
  // Holds the port while it answers no connections, with what fills its queue.
  connection::event::Tcp::acceptor full_;
  std::vector<Socket> fillers_;
  const connection::event::Tcp::endpoint target_;
  bool stalled_ = false;
  bool cut_silent_ = false;
  base::Duration delay_{};
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_LINK_PROXY_H_
