#include "rig/engine_server.h"

#include <memory>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "connection/chunk.h"
#include "connection/event/socket_probe.h"

namespace lynxglade::rig {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::Tcp;
namespace asio = connection::event::asio;
namespace http = connection::event::http;

constexpr int kBacklog = 1024;

std::string HeadText(const EngineAnswerHead& head,
                     AnswerFraming framing,
                     std::size_t length) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ' +
                     std::string(http::obsolete_reason(
                         static_cast<http::status>(head.status))) +
                     "\r\n";
  for (const auto& it : head.fields) {
    text +=
        std::string(it.name_string()) + ": " + std::string(it.value()) + "\r\n";
  }
  if (framing == AnswerFraming::kLength) {
    text += "Content-Length: " + std::to_string(length) + "\r\n";
  } else if (framing == AnswerFraming::kChunks) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  return text + "\r\n";
}

}  // namespace

Awaitable<void> EngineReply::Write(std::string bytes) {
  ErrorCode ec;
  co_await asio::async_write(socket_, asio::buffer(bytes), Into(ec));
}

Awaitable<void> EngineReply::SendWhole(EngineAnswerHead head,
                                       std::string body,
                                       AnswerFraming framing) {
  framing_ = framing;
  std::string text = HeadText(head, framing, body.size());
  if (framing == AnswerFraming::kChunks) {
    text += (body.empty() ? std::string() : tests::Chunk(body)) + "0\r\n\r\n";
  } else {
    text += body;
  }
  begun_ = true;
  whole_ = true;
  co_await Write(std::move(text));
}

Awaitable<void> EngineReply::Begin(EngineAnswerHead head,
                                   AnswerFraming framing,
                                   std::size_t length) {
  framing_ = framing;
  begun_ = true;
  std::string text = HeadText(head, framing, length);
  co_await Write(std::move(text));
}

Awaitable<void> EngineReply::SendPiece(std::string bytes) {
  if (framing_ == AnswerFraming::kChunks) {
    bytes = tests::Chunk(bytes);
  }
  co_await Write(std::move(bytes));
}

Awaitable<void> EngineReply::End() {
  whole_ = true;
  if (framing_ == AnswerFraming::kChunks) {
    co_await Write("0\r\n\r\n");
  }
}

void EngineReply::BreakOff(bool reset) noexcept {
  if (reset) {
    connection::event::ResetSocket(socket_);
  } else {
    connection::event::ShutdownAndClose(socket_);
  }
}

void EngineReply::MarkDisconnected() {
  if (on_disconnect_) {
    on_disconnect_();
  }
}

EngineServer::EngineServer(asio::io_context& loop,
                           std::uint16_t port,
                           std::size_t max_connections,
                           EngineHandler handler)
    : loop_(loop),
      acceptor_(loop),
      max_connections_(max_connections),
      handler_(std::move(handler)) {
  acceptor_.open(Tcp::v4());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind({asio::ip::address_v4::loopback(), port});
  acceptor_.listen(kBacklog);
  asio::co_spawn(loop_, Accept(), asio::detached);
}

Awaitable<void> EngineServer::Accept() {
  while (true) {
    ErrorCode ec;
    Tcp::socket socket = co_await acceptor_.async_accept(Into(ec));
    if (!ec && connections_ < max_connections_) {
      ++connections_;
      asio::co_spawn(loop_, Serve(std::move(socket)), asio::detached);
    }
  }
}

Awaitable<void> EngineServer::Serve(Tcp::socket socket) {
  ErrorCode ec;
  socket.set_option(Tcp::no_delay(true), ec);
  boost::beast::flat_buffer buffer;
  bool again = true;
  while (again) {
    http::request_parser<http::string_body> parser;
    co_await http::async_read(socket, buffer, parser, Into(ec));
    if (ec) {
      break;
    }
    const auto reply = std::make_shared<EngineReply>(socket);
    socket.async_wait(Tcp::socket::wait_read,
                      [&socket, it = std::weak_ptr(reply)](const ErrorCode& e) {
                        const auto pending = it.lock();
                        if (pending && !pending->whole() &&
                            (e || connection::event::PeerClosed(socket))) {
                          pending->MarkDisconnected();
                        }
                      });
    co_await handler_(parser.get(), *reply);
    again = reply->reusable();
  }
  connection::event::ShutdownAndClose(socket);
  --connections_;
}

}  // namespace lynxglade::rig
