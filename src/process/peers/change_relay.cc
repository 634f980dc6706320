#include "process/peers/change_relay.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include "base/whole_number.h"
#include "connection/event/call.h"
#include "process/peers/change_messages.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using connection::event::Call;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::CallerServerLimits;
using connection::event::ExchangeState;
using connection::event::OutgoingRequest;
using connection::event::Tcp;
using connection::event::View;
namespace asio = connection::event::asio;
namespace http = connection::event::http;

// A query's target is kPath, the revision, '/' and the wait in milliseconds.
constexpr std::string_view kPath = "/v1/changes-after/";
constexpr std::int64_t kMaxWaitMs = 10'000;
// Added to the wait for the round trip and a busy relay.
constexpr base::Duration kResponseMargin = std::chrono::milliseconds(400);
constexpr std::size_t kMaxResponseBytes = std::size_t{512} * 1024;
// Connections from instances of the zone; far more than a zone has instances.
constexpr std::size_t kMaxConnections = 512;
constexpr unsigned kHttp11 = 11;

constexpr http::status kNotWatchingStatus = http::status::service_unavailable;
constexpr http::status kAskStoreStatus = http::status::gone;

struct Query {
  base::Revision after;
  base::Duration wait{};
};

std::optional<Query> ParseQuery(std::string_view target) {
  const std::size_t slash = target.rfind('/');
  if (!target.starts_with(kPath) || slash < kPath.size()) {
    return std::nullopt;
  }
  const auto after =
      base::ParseWhole(target.substr(kPath.size(), slash - kPath.size()), 0,
                       std::numeric_limits<std::int64_t>::max());
  const auto wait = base::ParseWhole(target.substr(slash + 1), 0, kMaxWaitMs);
  if (!after || !wait) {
    return std::nullopt;
  }
  return Query{base::Revision(*after), std::chrono::milliseconds(*wait)};
}

RelayFault ToRelayFault(http::status status) {
  switch (status) {
    case kNotWatchingStatus:
      return RelayFault::kNotWatching;
    case kAskStoreStatus:
      return RelayFault::kAskStore;
    default:
      return RelayFault::kMalformed;
  }
}

}  // namespace

QueryRelay MakeQueryRelay(asio::io_context& loop,
                          connection::event::ChannelPool& channels) {
  return [&loop, &channels](
             InstancePeer relay, base::Revision after, base::Duration wait,
             RelayFault* fault) -> Awaitable<std::optional<store::StoreItems>> {
    const Tcp::endpoint endpoint(relay.endpoint.address(),
                                 relay.endpoint.port());
    OutgoingRequest request(http::verb::get,
                            std::string(kPath) + std::to_string(after.value()) +
                                '/' + std::to_string(base::ToMillis(wait)),
                            kHttp11);
    request.set(http::field::host, endpoint.address().to_string());
    ExchangeState end{};
    const auto response =
        co_await Call(loop, channels, endpoint, std::move(request),
                      {.timeout = wait + kResponseMargin,
                       .max_answer_bytes = kMaxResponseBytes},
                      &end);
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
    auto changes = DecodeChanges(response->body);
    if (!changes) {
      *fault = RelayFault::kMalformed;
    }
    co_return changes;
  };
}

ChangeRelay::ChangeRelay(asio::io_context& loop,
                         Tcp::endpoint endpoint,
                         WatchSharing& watches,
                         base::Clock clock,
                         base::Metrics& metrics)
    : watches_(watches),
      server_(
          loop,
          {.endpoint = std::move(endpoint), .max_connections = kMaxConnections},
          [] { return CallerServerLimits(); },
          [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
            return Serve(std::move(request), reply);
          },
          std::move(clock),
          metrics) {}

Awaitable<void> ChangeRelay::Serve(std::shared_ptr<CallerRequest> request,
                                   CallerReply& reply) {
  connection::event::AnswerHead head;
  std::string body;
  const auto query = ParseQuery(View(request->head.target()));
  if (!query) {
    head.status = static_cast<unsigned>(http::status::bad_request);
    co_await reply.SendWhole(std::move(head), body);
    co_return;
  }
  RelayFault fault{};
  const auto changes =
      co_await watches_.ServeChanges(query->after, query->wait, &fault);
  auto message = changes ? EncodeChanges(*changes) : std::nullopt;
  if (message) {
    head.status = static_cast<unsigned>(http::status::ok);
    body = std::move(*message);
  } else {
    const bool not_watching = !changes && fault == RelayFault::kNotWatching;
    head.status = static_cast<unsigned>(not_watching ? kNotWatchingStatus
                                                     : kAskStoreStatus);
  }
  co_await reply.SendWhole(std::move(head), body);
}

}  // namespace lynxglade::process::peers
