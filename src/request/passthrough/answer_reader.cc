#include "request/passthrough/answer_reader.h"

namespace lynxglade::request::passthrough {

using connection::event::Awaitable;
using connection::event::BodyFraming;
using connection::event::ExchangeState;

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

void AnswerReader::ReadAsEvents(EventSplitter& events) {
  events_ = &events;
  events_->Restart();
}

Awaitable<std::string_view> AnswerReader::ReadSome() {
  const std::string_view bytes = co_await exchange_.ReadSome();
  if (!events_) {
    co_return bytes;
  }
  const std::string_view events = events_->Feed(bytes);
  co_return end() == AnswerEnd::kWhole ? events_->Finish() : events;
}

AnswerEnd AnswerReader::end() const {
  switch (exchange_.state()) {
    case ExchangeState::kHead:
      return AnswerEnd::kOpen;
    case ExchangeState::kNotSent:
    case ExchangeState::kBroken:
      return AnswerEnd::kMessageCut;
    case ExchangeState::kCancelled:
      return AnswerEnd::kStopped;
    case ExchangeState::kWhole:
      break;
  }
  return events_ ? EndOfEvents() : AnswerEnd::kWhole;
}

AnswerEnd AnswerReader::EndOfEvents() const {
  const StreamPosition position = events_->position();
  if (position == StreamPosition::kInEvent) {
    return AnswerEnd::kEventCut;
  }
  if (exchange_.framing() != BodyFraming::kConnection) {
    return AnswerEnd::kWhole;
  }
  if (position == StreamPosition::kInLine) {
    return AnswerEnd::kEventCut;
  }
  return events_->has_event() ? AnswerEnd::kWhole : AnswerEnd::kNoEvent;
}

}  // namespace lynxglade::request::passthrough
