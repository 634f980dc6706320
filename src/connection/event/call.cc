#include "connection/event/call.h"

#include <utility>

namespace lynxglade::connection::event {

Awaitable<std::optional<CallAnswer>> Call(asio::io_context& loop,
                                          ChannelPool& channels,
                                          Tcp::endpoint endpoint,
                                          OutgoingRequest request,
                                          CallTerms terms,
                                          ExchangeState* end) {
  Exchange exchange(channels);
  const CancelAfter bound(loop, exchange, terms.timeout);
  co_await exchange.Start(endpoint, std::move(request), {}, terms.recent_only);
  CallAnswer answer;
  answer.body = co_await exchange.Rest(terms.max_answer_bytes);
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
