// The answer to one caller's request, whole or piece by piece.
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

// Status and headers; no header may concern the connection (the reply sets
// these itself).
struct AnswerHead {
  unsigned status = 0;
  std::string reason;
  http::fields fields;
};

// Not thread-safe: lives on the event loop, within one request.
class CallerReply {
 public:
  // `close` says whether the connection ends after this answer; it is asked
  // when the head is sent.
  CallerReply(Tcp::socket& socket,
              unsigned http_version,
              bool head_only,
              std::function<bool()> close);
  CallerReply(const CallerReply&) = delete;
  CallerReply& operator=(const CallerReply&) = delete;

  // All at once. False: the caller did not get all of it.
  Awaitable<bool> SendWhole(AnswerHead head, std::string_view body);
  // Piece by piece: Begin() sends nothing yet, the head goes out with the
  // first piece.
  void Begin(AnswerHead head);
  Awaitable<bool> SendPiece(std::string_view bytes);
  Awaitable<bool> End();
  // Breaks an answer off so that it cannot look complete.
  void Abort() noexcept;

  // Called at most once, when the caller has closed its connection.
  void OnGone(std::function<void()> hook) { on_gone_ = std::move(hook); }
  // For the connection: the caller has closed.
  void MarkGone();

  bool begun() const noexcept { return serializer_ != nullptr; }
  bool gone() const noexcept { return gone_; }
  // The connection may serve another request.
  bool reusable() const noexcept { return whole_ && !gone_ && !closes_; }
  bool whole() const noexcept { return whole_; }

 private:
  using Message = http::response<http::buffer_body>;

  template <typename Body>
  void FillHead(http::response<Body>& message, AnswerHead head);

  Tcp::socket& socket_;
  const unsigned http_version_;
  const bool head_only_;
  const std::function<bool()> close_;
  std::function<void()> on_gone_;
  std::unique_ptr<Message> message_;
  std::unique_ptr<http::response_serializer<http::buffer_body>> serializer_;
  bool closes_ = false;
  bool whole_ = false;
  bool gone_ = false;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALLER_REPLY_H_
