// Keeps a mark in the store while the next lifetime of this instance must
// assume that this one spent much: from its start until its earlier lifetime no
// longer counts, and while it needs more of a bound than it may use without a
// mark.
//
// The mark is a key without a lease, as a lease may expire early while the
// store is down. An instance whose key does not exist at its start had a
// lifetime that spent little.
#ifndef LYNXGLADE_PROCESS_PEERS_SPENDING_MARK_H_
#define LYNXGLADE_PROCESS_PEERS_SPENDING_MARK_H_

#include <functional>
#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "process/store/store_port.h"

namespace lynxglade::process::peers {

struct SpendingMarkOptions {
  base::InstanceId instance;
  // How long what was spent counts.
  base::Duration count_time{};
  std::string prefix = "lynxglade/spending/";
  // Between calls that failed, plus up to as much at random: all instances may
  // start at once.
  base::Duration retry_interval = std::chrono::milliseconds(300);
  // Between looks whether the mark is still needed.
  base::Duration poll_interval = std::chrono::milliseconds(250);
};

struct SpendingMarkHooks {
  // Called once if there was no mark at the start.
  std::function<void()> on_unmarked_start;
  // The mark is in the store, or is about to be removed.
  std::function<void(bool marked)> on_marked;
  // Whether much was spent within the count time.
  std::function<bool()> needs_mark;
};

// Not thread-safe: runs on the event loop.
class SpendingMark {
 public:
  SpendingMark(connection::event::asio::io_context& loop,
               store::StorePort& store,
               SpendingMarkOptions options,
               SpendingMarkHooks hooks,
               base::Clock clock,
               base::RandomSource random);
  SpendingMark(const SpendingMark&) = delete;
  SpendingMark& operator=(const SpendingMark&) = delete;

  // Keeps the mark until the loop stops.
  connection::event::Awaitable<void> Run();
  // More is needed than may be used without a mark.
  void Request();

 private:
  connection::event::Awaitable<void> MarkStart();
  connection::event::Awaitable<void> Write();
  connection::event::Awaitable<void> Remove();
  connection::event::Awaitable<void> Wait(base::Duration wait);
  std::string Key() const;

  connection::event::asio::io_context& loop_;
  store::StorePort& store_;
  const SpendingMarkOptions options_;
  const SpendingMarkHooks hooks_;
  const base::Clock clock_;
  const base::RandomSource random_;
  const base::Time started_at_;
  connection::event::asio::steady_timer timer_;
  bool requested_ = false;
  bool marked_ = false;
  // The key may be in the store.
  bool written_ = false;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_SPENDING_MARK_H_
