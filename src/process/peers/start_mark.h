// Records in the store that this instance has started lately.
//
// An instance whose key does not exist has not started within the time that
// bounds depend on, unless the store was out of reach then. The key is created
// at the start, which tells both, and removed once that time is over. It has no
// lease, as a lease may expire early while the store is down.
#ifndef LYNXGLADE_PROCESS_PEERS_START_MARK_H_
#define LYNXGLADE_PROCESS_PEERS_START_MARK_H_

#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "process/store/store_port.h"

namespace lynxglade::process::peers {

struct StartMarkOptions {
  base::InstanceId instance;
  // How long the mark stays.
  base::Duration lifetime{};
  std::string prefix = "lynxglade/starts/";
  // Between calls that failed, plus up to as much at random: all instances may
  // start at once.
  base::Duration retry_interval = std::chrono::milliseconds(300);
};

// Not thread-safe: runs on the event loop.
class StartMark {
 public:
  // `on_confirmed` is called once if no earlier lifetime of the instance had a
  // mark.
  StartMark(connection::event::asio::io_context& loop,
            store::StorePort& store,
            StartMarkOptions options,
            std::function<void()> on_confirmed,
            base::Clock clock,
            base::RandomSource random);
  StartMark(const StartMark&) = delete;
  StartMark& operator=(const StartMark&) = delete;

  // Creates the mark, and removes it when its time is over.
  connection::event::Awaitable<void> Run();

 private:
  connection::event::Awaitable<void> Create();
  connection::event::Awaitable<void> Remove();
  connection::event::Awaitable<void> Wait();
  std::string Key() const;

  connection::event::asio::io_context& loop_;
  store::StorePort& store_;
  const StartMarkOptions options_;
  const std::function<void()> on_confirmed_;
  const base::Clock clock_;
  const base::RandomSource random_;
  const base::Time started_at_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_START_MARK_H_
