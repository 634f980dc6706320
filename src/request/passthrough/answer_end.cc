#include "request/passthrough/answer_end.h"

namespace lynxglade::request::passthrough {

using connection::event::BodyFraming;

std::string_view ToString(AnswerEnd end) noexcept {
  switch (end) {
    case AnswerEnd::kOpen:
      return "open";
    case AnswerEnd::kWhole:
      return "whole";
    case AnswerEnd::kMessageCut:
      return "message_cut";
    case AnswerEnd::kEventCut:
      return "event_cut";
    case AnswerEnd::kNoEvent:
      return "no_event";
    case AnswerEnd::kStopped:
      break;
  }
  return "stopped";
}

AnswerEnd EndOfEvents(BodyFraming framing,
                      const EventSplitter& events) noexcept {
  const StreamPosition position = events.position();
  if (position == StreamPosition::kInEvent) {
    return AnswerEnd::kEventCut;
  }
  if (framing != BodyFraming::kConnection) {
    return AnswerEnd::kWhole;
  }
  if (position == StreamPosition::kInLine) {
    return AnswerEnd::kEventCut;
  }
  return events.has_event() ? AnswerEnd::kWhole : AnswerEnd::kNoEvent;
}

}  // namespace lynxglade::request::passthrough
