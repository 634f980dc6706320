#include "connection/event/call.h"

#include <utility>

namespace lynxglade::connection::event {

Awaitable<std::optional<CallAnswer>> Call(asio::io_context& loop,
                                          ChannelPool& channels,
                                          Tcp::endpoint endpoint,
                                          OutgoingRequest request,
                                          CallOptions options,
                                          ExchangeState* end) {
  Exchange exchange(channels);
  const CancelAfter bound(loop, exchange, options.timeout);
  co_await exchange.Start(endpoint, std::move(request),
                          std::move(options.is_answer), options.reuse);
  CallAnswer answer;
  answer.body = co_await exchange.ReadRest(options.max_answer_bytes);
  if (end) {
    *end = exchange.state();
  }
  if (exchange.state() != ExchangeState::kWhole) {
    co_return std::nullopt;
  }
  answer.status = exchange.head().result();
  co_return answer;
}

}  // namespace lynxglade::connection::event
