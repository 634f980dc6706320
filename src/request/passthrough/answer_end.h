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
  // The caller left, or the time was over.
  kStopped,
};
std::string_view ToString(AnswerEnd end) noexcept;

// For a stream whose message has ended as `framing` says. A message that ended
// is not enough: its last event must have ended, too.
AnswerEnd EndOfEvents(connection::event::BodyFraming framing,
                      const EventSplitter& events) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ANSWER_END_H_
