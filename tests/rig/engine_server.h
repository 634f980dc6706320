// HTTP server of the rig's engines, whose answers may be delimited in any way
// and broken off anywhere. Independent of the transport under test.
#ifndef LYNXGLADE_TESTS_RIG_ENGINE_SERVER_H_
#define LYNXGLADE_TESTS_RIG_ENGINE_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "connection/event/http_types.h"
#include "rig/answer_data.h"

namespace lynxglade::rig {

using EngineRequest =
    connection::event::http::request<connection::event::http::string_body>;

// Without the headers that delimit the body.
struct EngineAnswerHead {
  unsigned status = 200;
  connection::event::http::fields fields;
};

// Not thread-safe: runs on the event loop. Serves one request.
class EngineReply {
 public:
  explicit EngineReply(connection::event::Tcp::socket& socket)
      : socket_(socket) {}
  EngineReply(const EngineReply&) = delete;
  EngineReply& operator=(const EngineReply&) = delete;

  connection::event::Awaitable<void> SendWhole(EngineAnswerHead head,
                                               std::string body,
                                               AnswerFraming framing);
  // `length`: of the body, sent with AnswerFraming::kLength.
  connection::event::Awaitable<void> Begin(EngineAnswerHead head,
                                           AnswerFraming framing,
                                           std::size_t length);
  connection::event::Awaitable<void> SendPiece(std::string bytes);
  connection::event::Awaitable<void> End();
  // Ends the connection by a reset or a close.
  void BreakOff(bool reset) noexcept;

  // Called at most once, when the peer closes its connection.
  void OnDisconnect(std::function<void()> hook) {
    on_disconnect_ = std::move(hook);
  }
  void MarkDisconnected();

  bool begun() const noexcept { return begun_; }
  bool whole() const noexcept { return whole_; }
  // Whether the connection may serve another request.
  bool reusable() const noexcept {
    return whole_ && framing_ != AnswerFraming::kConnection;
  }

 private:
  connection::event::Awaitable<void> Write(std::string bytes);

  connection::event::Tcp::socket& socket_;
  std::function<void()> on_disconnect_;
  AnswerFraming framing_ = AnswerFraming::kLength;
  bool begun_ = false;
  bool whole_ = false;
};

using EngineHandler =
    std::function<connection::event::Awaitable<void>(const EngineRequest&,
                                                     EngineReply&)>;

// Not thread-safe: runs on the event loop. Must outlive its connections.
class EngineServer {
 public:
  // Throws if the port is in use.
  EngineServer(connection::event::asio::io_context& loop,
               std::uint16_t port,
               std::size_t max_connections,
               EngineHandler handler);
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

 private:
  connection::event::Awaitable<void> Accept();
  connection::event::Awaitable<void> Serve(
      connection::event::Tcp::socket socket);

  connection::event::asio::io_context& loop_;
  connection::event::Tcp::acceptor acceptor_;
  const std::size_t max_connections_;
  const EngineHandler handler_;
  std::size_t connections_ = 0;
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_ENGINE_SERVER_H_
