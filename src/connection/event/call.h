// A call that is over with its answer: one request, and the answer's status and
// body whole, within a time.
#ifndef LYNXGLADE_CONNECTION_EVENT_CALL_H_
#define LYNXGLADE_CONNECTION_EVENT_CALL_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "connection/event/exchange.h"

namespace lynxglade::connection::event {

struct CallTerms {
  // From the start of the call to the end of its answer.
  base::Duration timeout{};
  // A longer answer counts as broken.
  std::size_t max_answer_bytes = std::size_t{64} * 1024;
  // The request must not meet a connection that is being closed: it may not be
  // safe to repeat.
  bool careful = false;
};

struct CallAnswer {
  http::status status{};
  std::string body;
};

// Nothing if no whole answer came; `*end` then says how far the call got (null
// to ignore).
Awaitable<std::optional<CallAnswer>> Call(asio::io_context& loop,
                                          ChannelPool& channels,
                                          Tcp::endpoint endpoint,
                                          OutgoingRequest request,
                                          CallTerms terms,
                                          ExchangeState* end);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALL_H_
