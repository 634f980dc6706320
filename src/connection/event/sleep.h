// Sleeping on the event loop without blocking it.
#ifndef LYNXGLADE_CONNECTION_EVENT_SLEEP_H_
#define LYNXGLADE_CONNECTION_EVENT_SLEEP_H_

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

inline Awaitable<void> SleepFor(asio::io_context& loop, base::Duration wait) {
  asio::steady_timer timer(loop, wait);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_SLEEP_H_
