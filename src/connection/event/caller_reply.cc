#include "connection/event/caller_reply.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "connection/event/socket_probe.h"

namespace lynxglade::connection::event {

namespace {

constexpr unsigned kHttp10 = 10;

}  // namespace

CallerReply::CallerReply(Tcp::socket& socket,
                         unsigned http_version,
                         bool head_only,
                         std::function<bool()> close)
    : socket_(socket),
      http_version_(http_version),
      head_only_(head_only),
      close_(std::move(close)) {}

template <typename Body>
void CallerReply::FillHead(http::response<Body, HeaderFields>& message,
                           AnswerHead head) {
  static_cast<HeaderFields&>(message.base()) = std::move(head.fields);
  message.version(http_version_);
  message.result(head.status);
  message.reason(head.reason);
  begun_ = true;
  closes_ = must_close_ || close_();
  message.keep_alive(!closes_);
}

Awaitable<bool> CallerReply::SendWhole(AnswerHead head, std::string_view body) {
  http::response<http::span_body<const char>, HeaderFields> message;
  FillHead(message, std::move(head));
  message.content_length(body.size());
  if (!head_only_) {
    message.body() = {body.data(), body.size()};
  }
  ErrorCode ec;
  co_await http::async_write(socket_, message, Into(ec));
  whole_ = !ec;
  co_return whole_;
}

void CallerReply::Begin(AnswerHead head) {
  message_ = std::make_unique<Message>();
  FillHead(*message_, std::move(head));
  // HTTP/1.0 has no chunked coding: the end of the connection ends the body, so
  // it must be a reset until the body is complete.
  if (http_version_ <= kHttp10) {
    closes_ = true;
    message_->keep_alive(false);
    SetResetOnClose(socket_, true);
  } else {
    message_->chunked(true);
  }
  message_->body().data = nullptr;
  message_->body().more = true;
  serializer_ = std::make_unique<Serializer>(*message_);
}

Awaitable<bool> CallerReply::SendPiece(std::string_view bytes) {
  auto& body = message_->body();
  // The serializer does not write to the buffer; buffer_body is non-const
  // because parsers use it, too.
  body.data = const_cast<char*>(bytes.data());
  body.size = bytes.size();
  body.more = true;
  ErrorCode ec;
  co_await http::async_write(socket_, *serializer_, Into(ec));
  co_return !ec || ec == http::error::need_buffer;
}

Awaitable<bool> CallerReply::End() {
  auto& body = message_->body();
  body.data = nullptr;
  body.size = 0;
  body.more = false;
  ErrorCode ec;
  co_await http::async_write(socket_, *serializer_, Into(ec));
  whole_ = !ec;
  if (whole_ && http_version_ <= kHttp10) {
    SetResetOnClose(socket_, false);
  }
  co_return whole_;
}

Awaitable<Tcp::socket*> CallerReply::SwitchProtocols(
    std::string_view protocol) {
  http::response<http::empty_body, HeaderFields> message(
      http::status::switching_protocols, http_version_);
  message.set(http::field::connection, "Upgrade");
  message.set(http::field::upgrade,
              boost::beast::string_view(protocol.data(), protocol.size()));
  ErrorCode ec;
  co_await http::async_write(socket_, message, Into(ec));
  whole_ = true;
  closes_ = true;
  co_return ec ? nullptr : &socket_;
}

void CallerReply::Abort() noexcept {
  // A reset, because a plain close would look like the end of an answer that is
  // delimited by the connection's end.
  ResetSocket(socket_);
}

void CallerReply::MarkDisconnected() {
  disconnected_ = true;
  if (on_disconnect_) {
    on_disconnect_();
  }
}

}  // namespace lynxglade::connection::event
