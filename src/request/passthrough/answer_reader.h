// Reads the body of a target's answer and decides whether the answer is whole.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_READER_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_READER_H_

#include <cstddef>
#include <string_view>

#include "connection/event/exchange.h"
#include "request/passthrough/answer_end.h"
#include "request/passthrough/event_splitter.h"

namespace lynxglade::request::passthrough {

// Forwarding, retries, evidence of crashes, health of targets and learnt sizes
// follow from end().
//
// Not thread-safe: runs on the event loop.
class AnswerReader {
 public:
  // `exchange` must outlive this object.
  explicit AnswerReader(connection::event::Exchange& exchange)
      : exchange_(exchange) {}
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  // The body is a stream of events, which continues what `events` has read of
  // earlier answers. `events` must outlive this object.
  void ReadAsEvents(EventSplitter& events);

  // Returns the next bytes that can be forwarded, valid until the next call.
  // They may be empty while the answer is open. An event that is not complete
  // is held back.
  connection::event::Awaitable<std::string_view> ReadSome();

  AnswerEnd end() const;
  // Size of an incomplete event.
  std::size_t held_bytes() const noexcept {
    return events_ ? events_->held_bytes() : 0;
  }
  const connection::event::Exchange& exchange() const noexcept {
    return exchange_;
  }
  // Ends the exchange.
  void Cancel() noexcept { exchange_.Cancel(); }

 private:
  connection::event::Exchange& exchange_;
  EventSplitter* events_ = nullptr;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_READER_H_
