#include "request/passthrough/answer_reader.h"

namespace lynxglade::request::passthrough {

using connection::event::Awaitable;
using connection::event::ExchangeState;

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
  return events_ ? EndOfEvents(exchange_.framing(), *events_)
                 : AnswerEnd::kWhole;
}

}  // namespace lynxglade::request::passthrough
