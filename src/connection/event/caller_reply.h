// Writes the answer to one caller's request, at once or in pieces.
#ifndef LYNXGLADE_CONNECTION_EVENT_CALLER_REPLY_H_
#define LYNXGLADE_CONNECTION_EVENT_CALLER_REPLY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Status and headers. Must not contain hop-by-hop headers: CallerReply sets
// these itself.
struct AnswerHead {
  unsigned status = 0;
  std::string reason;
  HeaderFields fields;
};

// Not thread-safe: runs on the event loop. Serves one request.
class CallerReply {
 public:
  // `close` returns whether the connection closes after this answer. Called
  // when the head of the answer is built.
  CallerReply(Tcp::socket& socket,
              unsigned http_version,
              bool head_only,
              std::function<bool()> close);
  CallerReply(const CallerReply&) = delete;
  CallerReply& operator=(const CallerReply&) = delete;

  // Sends a complete answer. Returns false if not all of it could be written.
  Awaitable<bool> SendWhole(AnswerHead head, std::string_view body);
  // Starts an answer that is sent in pieces. The head is sent with the first
  // piece. Until End(), the caller cannot take the end of the connection for
  // that of the answer.
  void Begin(AnswerHead head);
  Awaitable<bool> SendPiece(std::string_view bytes);
  Awaitable<bool> End();
  // Agrees to another protocol on this connection (101), which the handler then
  // speaks on the returned socket until it returns. Null if the answer could
  // not be written.
  Awaitable<Tcp::socket*> SwitchProtocols(std::string_view protocol);
  // Resets the connection, so that the caller cannot take a partial answer for
  // a complete one.
  void Abort() noexcept;

  // `hook` is called at most once, when the caller closes its connection.
  void OnDisconnect(std::function<void()> hook) {
    on_disconnect_ = std::move(hook);
  }
  // Called by the server when the caller has closed its connection.
  void MarkDisconnected();

  // The connection closes after this answer, whatever the hook says. To be
  // called before the head is built.
  void CloseAfter() noexcept { must_close_ = true; }
  // Part of the answer may have been sent.
  bool begun() const noexcept { return begun_; }
  bool disconnected() const noexcept { return disconnected_; }
  // Whether the connection may serve another request.
  bool reusable() const noexcept {
    return whole_ && !disconnected_ && !closes_;
  }
  bool whole() const noexcept { return whole_; }

 private:
  using Message = http::response<http::buffer_body, HeaderFields>;
  using Serializer = http::response_serializer<http::buffer_body, HeaderFields>;

  template <typename Body>
  void FillHead(http::response<Body, HeaderFields>& message, AnswerHead head);

  Tcp::socket& socket_;
  const unsigned http_version_;
  const bool head_only_;
  const std::function<bool()> close_;
  std::function<void()> on_disconnect_;
  std::unique_ptr<Message> message_;
  std::unique_ptr<Serializer> serializer_;
  bool begun_ = false;
  bool must_close_ = false;
  bool closes_ = false;
  bool whole_ = false;
  bool disconnected_ = false;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALLER_REPLY_H_
