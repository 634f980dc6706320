#include "connection/answer_text.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace lynxglade::tests {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

}  // namespace

void AnswerText::Feed(std::string_view bytes) {
  rest_.append(bytes);
  while (Step()) {
  }
}

void AnswerText::EndConnection(bool reset) {
  if (state_ == State::kDone) {
    return;
  }
  state_ =
      state_ == State::kUntilClose && !reset ? State::kDone : State::kBroken;
}

std::string AnswerText::Header(std::string_view name) const {
  const std::string head = Lower(head_);
  const std::string line = "\r\n" + Lower(name) + ": ";
  const std::size_t at = head.find(line);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + line.size();
  return head_.substr(begin, head_.find(kLineEnd, begin) - begin);
}

bool AnswerText::keeps_connection() const {
  return complete() && rest_.empty() && head_.starts_with("HTTP/1.1") &&
         Lower(Header("Connection")) != "close" &&
         (!Header("Content-Length").empty() ||
          Lower(Header("Transfer-Encoding")) == "chunked");
}

bool AnswerText::Step() {
  switch (state_) {
    case State::kHead:
      return ReadHead();
    case State::kLength:
    case State::kChunk:
      return ReadSized();
    case State::kChunkSize:
      return ReadChunkSize();
    case State::kTrailer:
      return ReadTrailer();
    case State::kUntilClose:
      body_ += rest_;
      rest_.clear();
      return false;
    case State::kDone:
    case State::kBroken:
      break;
  }
  return false;
}

bool AnswerText::ReadHead() {
  const std::size_t end = rest_.find(kHeadEnd);
  if (end == std::string::npos) {
    return false;
  }
  head_ = rest_.substr(0, end + kLineEnd.size());
  rest_.erase(0, end + kHeadEnd.size());
  status_ = static_cast<unsigned>(
      std::strtoul(head_.substr(head_.find(' ') + 1).c_str(), nullptr, 10));
  has_head_ = true;
  const std::string length = Header("Content-Length");
  if (status_ == kNoContent || status_ == kNotModified) {
    state_ = State::kDone;
  } else if (Lower(Header("Transfer-Encoding")) == "chunked") {
    state_ = State::kChunkSize;
  } else if (!length.empty()) {
    left_ = std::strtoull(length.c_str(), nullptr, 10);
    state_ = left_ == 0 ? State::kDone : State::kLength;
  } else {
    state_ = State::kUntilClose;
  }
  return true;
}

bool AnswerText::ReadSized() {
  const std::size_t n = std::min(left_, rest_.size());
  body_ += rest_.substr(0, n);
  rest_.erase(0, n);
  left_ -= n;
  if (left_ > 0) {
    return false;
  }
  if (state_ == State::kLength) {
    state_ = State::kDone;
    return true;
  }
  // The line end after a chunk.
  if (rest_.size() < kLineEnd.size()) {
    return false;
  }
  rest_.erase(0, kLineEnd.size());
  state_ = State::kChunkSize;
  return true;
}

bool AnswerText::ReadChunkSize() {
  const auto line = TakeLine();
  if (!line) {
    return false;
  }
  left_ = std::strtoull(line->c_str(), nullptr, 16);
  state_ = left_ == 0 ? State::kTrailer : State::kChunk;
  return true;
}

bool AnswerText::ReadTrailer() {
  const auto line = TakeLine();
  if (!line) {
    return false;
  }
  state_ = line->empty() ? State::kDone : State::kTrailer;
  return true;
}

std::optional<std::string> AnswerText::TakeLine() {
  const std::size_t end = rest_.find(kLineEnd);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string line = rest_.substr(0, end);
  rest_.erase(0, end + kLineEnd.size());
  return line;
}

}  // namespace lynxglade::tests
