// Whether an answer is whole, and if not, what shows it.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_END_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_END_H_

#include <string_view>

#include "connection/event/body_framing.h"
#include "request/passthrough/event_splitter.h"

namespace lynxglade::request::passthrough {

enum class AnswerEnd {
  // It has not ended.
  kOpen,
  kWhole,
  // No head was read, or the connection ended before the message did.
  kMessageCut,
  // The message ended inside an event or, if the connection's end was all that
  // ended it, inside a line.
  kEventCut,
  // The connection's end was all that ended a stream without an event. Every
  // run has one.
  kNoEvent,
  // Not read to its end: the caller left, the time was over, or the head is not
  // acceptable.
  kStopped,
};
std::string_view ToString(AnswerEnd end) noexcept;

// For a stream whose message has ended as `framing` says. A message that ended
// is not enough: its last event must have ended, too.
AnswerEnd EndOfEvents(connection::event::BodyFraming framing,
                      const EventSplitter& events) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_END_H_
