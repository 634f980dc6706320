#include "process/peers/change_relay.h"

#include <optional>
#include <string_view>
#include <utility>

#include "connection/event/call.h"
#include "process/peers/change_messages.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using connection::event::Call;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::ExchangeState;
using connection::event::OutgoingRequest;
using connection::event::Tcp;
using connection::event::View;
namespace asio = connection::event::asio;
namespace http = connection::event::http;

constexpr std::size_t kMaxResponseBytes = std::size_t{512} * 1024;
constexpr unsigned kHttp11 = 11;

constexpr http::status kNotWatchingStatus = http::status::service_unavailable;
constexpr http::status kAskStoreStatus = http::status::gone;
constexpr http::status kResyncStatus = http::status::conflict;

RelayFault ToRelayFault(http::status status) {
  switch (status) {
    case kNotWatchingStatus:
      return RelayFault::kNotWatching;
    case kAskStoreStatus:
      return RelayFault::kAskStore;
    case kResyncStatus:
      return RelayFault::kResync;
    default:
      return RelayFault::kMalformed;
  }
}

http::status ToStatus(RelayFault fault) {
  switch (fault) {
    case RelayFault::kResync:
      return kResyncStatus;
    case RelayFault::kNotWatching:
      return kNotWatchingStatus;
    default:
      return kAskStoreStatus;
  }
}

}  // namespace

QueryRelay MakeQueryRelay(asio::io_context& loop,
                          connection::event::ChannelPool& channels) {
  return [&loop, &channels](
             InstancePeer relay, ChangesQuery query, base::Duration timeout,
             RelayFault* fault) -> Awaitable<std::optional<ChangesAnswer>> {
    const Tcp::endpoint endpoint(relay.endpoint.address(),
                                 relay.endpoint.port());
    OutgoingRequest request(http::verb::get, EncodeQuery(query), kHttp11);
    request.set(http::field::host, endpoint.address().to_string());
    ExchangeState end{};
    const auto response = co_await Call(
        loop, channels, endpoint, std::move(request),
        {.timeout = timeout, .max_answer_bytes = kMaxResponseBytes}, &end);
    if (!response) {
      // Other pooled connections to the relay may be dead as well.
      channels.CloseIdleTo(endpoint);
      *fault = end == ExchangeState::kCancelled ? RelayFault::kTimeout
                                                : RelayFault::kUnreachable;
      co_return std::nullopt;
    }
    if (response->status != http::status::ok) {
      *fault = ToRelayFault(response->status);
      co_return std::nullopt;
    }
    auto answer = DecodeAnswer(response->body);
    if (!answer) {
      *fault = RelayFault::kMalformed;
    }
    co_return answer;
  };
}

Awaitable<void> ServeQuery(WatchSharing& watches,
                           std::shared_ptr<CallerRequest> request,
                           CallerReply& reply) {
  connection::event::AnswerHead head;
  std::string body;
  const auto query = DecodeQuery(View(request->head.target()));
  if (!query) {
    head.status = static_cast<unsigned>(http::status::bad_request);
    co_await reply.SendWhole(std::move(head), body);
    co_return;
  }
  RelayFault fault = RelayFault::kAskStore;
  const auto answer = co_await watches.ServeChanges(*query, &fault);
  auto message = answer ? EncodeAnswer(*answer) : std::nullopt;
  if (message) {
    head.status = static_cast<unsigned>(http::status::ok);
    body = std::move(*message);
  } else {
    head.status = static_cast<unsigned>(ToStatus(fault));
  }
  co_await reply.SendWhole(std::move(head), body);
}

}  // namespace lynxglade::process::peers
