#include "process/store/watch_guard.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "connection/event/tasks.h"

namespace lynxglade::process::store {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::Spawn;
namespace asio = connection::event::asio;

}  // namespace

struct WatchGuard::Pending {
  explicit Pending(asio::io_context& loop) : wake(loop) {}

  // Waits for a step to end, for at most this long.
  Awaitable<void> Wait(base::Duration time) {
    ErrorCode ec;
    wake.expires_after(time);
    co_await wake.async_wait(Into(ec));
  }

  std::optional<StoreItems> items;
  StoreFault fault = StoreFault::kClosed;
  bool ended = false;
  // Whether the store answered the read; nothing before it has ended.
  std::optional<bool> answers;
  asio::steady_timer wake;
};

WatchGuard::WatchGuard(asio::io_context& loop,
                       StorePort& store,
                       WatchGuardOptions options,
                       base::Clock clock,
                       base::Metrics& metrics)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

WatchGuard::Result<StoreItems> WatchGuard::List(std::string prefix,
                                                Freshness freshness,
                                                StoreFault* fault) {
  return store_.List(std::move(prefix), freshness, fault);
}

// A watch that is given up ends by the store client's own timeout.
WatchGuard::Result<StoreItems> WatchGuard::Watch(std::string prefix,
                                                 base::Revision after,
                                                 base::Duration wait,
                                                 StoreFault* fault) {
  const auto pending = std::make_shared<Pending>(loop_);
  Spawn(loop_, "store_watch", RunWatch(pending, std::move(prefix), after, wait),
        [pending] {
          pending->ended = true;
          pending->wake.cancel();
        });
  if (!pending->ended) {
    co_await pending->Wait(wait + options_.overdue);
  }
  bool lost = false;
  if (!pending->ended) {
    lost = co_await IsLost(pending);
  }
  if (lost) {
    metrics_.GetCounter("lynxglade_watches_lost_total").Add();
    base::Log(base::LogLevel::kWarning, "store_watch_lost",
              {{"revision", after.value()}, {"ms", base::ToMillis(wait)}});
    *fault = StoreFault::kTimeout;
    co_return std::nullopt;
  }
  while (!pending->ended) {
    co_await pending->Wait(wait);
  }
  *fault = pending->fault;
  co_return std::move(pending->items);
}

Awaitable<void> WatchGuard::RunWatch(std::shared_ptr<Pending> pending,
                                     std::string prefix,
                                     base::Revision after,
                                     base::Duration wait) {
  pending->items =
      co_await store_.Watch(std::move(prefix), after, wait, &pending->fault);
}

Awaitable<void> WatchGuard::RunProbe(std::shared_ptr<Pending> pending) {
  StoreFault fault{};
  const auto item = co_await store_.Get(options_.probe_key, &fault);
  pending->answers = item.has_value();
}

Awaitable<bool> WatchGuard::IsLost(std::shared_ptr<Pending> pending) {
  const base::Time asked_at = clock_();
  Spawn(loop_, "store_probe", RunProbe(pending), [pending] {
    pending->answers = pending->answers.value_or(false);
    pending->wake.cancel();
  });
  while (!pending->ended && !pending->answers) {
    co_await pending->Wait(std::chrono::seconds(1));
  }
  if (pending->ended || !*pending->answers) {
    co_return false;
  }
  co_await pending->Wait(
      std::max(options_.min_extra_wait, clock_() - asked_at));
  co_return !pending->ended;
}

}  // namespace lynxglade::process::store
