#include "request/relay_delivery.h"

#include <utility>

namespace lynxglade::request {

RelayDelivery::RelayDelivery(const Request& request,
                             const CallerSink& sink,
                             const base::Clock& now,
                             std::size_t max_recorded_bytes)
    : request_(request),
      sink_(sink),
      now_(now),
      max_recorded_bytes_(max_recorded_bytes) {}

RelayDelivery::AcceptResult RelayDelivery::Accept(const TokenChunk& chunk) {
  const base::Tokens end = chunk.offset + chunk.count;
  if (chunk.count.value() > 0 && end <= offset_) {
    return AcceptResult::kAccepted;
  }
  if (chunk.offset != offset_ || chunk.count.value() < 0) {
    return AcceptResult::kOutOfSequence;
  }
  if (!first_token_ && chunk.count.value() > 0) {
    first_token_ = now_() - request_.arrived;
  }
  AppendText(chunk.text);
  if (!Stream(chunk) && !request_.non_idempotent) {
    return AcceptResult::kCallerDisconnected;
  }
  offset_ = end;
  return AcceptResult::kAccepted;
}

bool RelayDelivery::Stream(const TokenChunk& chunk) {
  if (!request_.stream || !sink_.on_token) {
    return true;
  }
  if (rejected_by_caller_ || !sink_.on_token(chunk)) {
    rejected_by_caller_ = true;
    return false;
  }
  streamed_ += chunk.count;
  return true;
}

bool RelayDelivery::CallerDisconnected() const {
  return rejected_by_caller_ || (sink_.disconnected && sink_.disconnected());
}

bool RelayDelivery::MayRecord(const Answer& answer) const noexcept {
  const std::size_t size =
      answer.plain ? answer.plain->body.size() : answer.text.size();
  return !text_too_long_ && size <= max_recorded_bytes_;
}

std::string RelayDelivery::TakeText() noexcept {
  return std::exchange(text_, {});
}

void RelayDelivery::AppendText(std::string_view text) {
  if (!request_.stream) {
    text_ += text;
    return;
  }
  if (!request_.non_idempotent || text_too_long_) {
    return;
  }
  if (text_.size() + text.size() > max_recorded_bytes_) {
    text_too_long_ = true;
    text_.clear();
    return;
  }
  text_ += text;
}

}  // namespace lynxglade::request
