// One HTTP call: sends a request and reads the complete answer within a
// timeout.
#ifndef LYNXGLADE_CONNECTION_EVENT_CALL_H_
#define LYNXGLADE_CONNECTION_EVENT_CALL_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "connection/event/exchange.h"

namespace lynxglade::connection::event {

struct CallOptions {
  // Bounds the whole call, including reading the answer.
  base::Duration timeout{};
  // A longer answer ends the call as kBroken.
  std::size_t max_answer_bytes = std::size_t{64} * 1024;
  ChannelReuse reuse = ChannelReuse::kAny;
  // Empty: any answer is that to the call.
  AnswerFilter is_answer = {};
};

struct CallAnswer {
  http::status status{};
  std::string body;
};

// Returns nullopt if no complete answer arrived. `*end`, unless null, receives
// how far the call got.
Awaitable<std::optional<CallAnswer>> Call(asio::io_context& loop,
                                          ChannelPool& channels,
                                          Tcp::endpoint endpoint,
                                          OutgoingRequest request,
                                          CallOptions options,
                                          ExchangeState* end);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALL_H_
