// HTTP and event-loop types shared by the event transport.
#ifndef LYNXGLADE_CONNECTION_EVENT_HTTP_TYPES_H_
#define LYNXGLADE_CONNECTION_EVENT_HTTP_TYPES_H_

// Asio's coroutine headers use std::exchange without including it.
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "connection/event/header_fields.h"

namespace lynxglade::connection::event {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
template <typename T>
using Awaitable = asio::awaitable<T>;

// A request to a target or to the platform.
using OutgoingRequest = http::request<http::string_body, HeaderFields>;
using ResponseHead = http::response_header<HeaderFields>;
using RequestHead = http::request_header<HeaderFields>;

// Converts Boost's string view to the standard one.
inline std::string_view View(boost::beast::string_view text) noexcept {
  return {text.data(), text.size()};
}

// Completion token that stores the error in `ec` instead of throwing.
inline auto Into(ErrorCode& ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_HTTP_TYPES_H_
