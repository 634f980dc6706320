#include "request/passthrough/event_splitter.h"

#include <algorithm>
#include <utility>

namespace lynxglade::request::passthrough {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
constexpr char kComment = ':';

}  // namespace

void EventSplitter::Restart() {
  buffer_.clear();
  released_ = line_start_ = searched_ = 0;
  at_start_ = true;
  after_cr_ = uses_crlf_ = in_event_ = has_event_ = has_id_ = has_data_ = false;
  in_rest_of_line_ = partly_released_ = false;
  id_.clear();
}

std::string_view EventSplitter::Feed(std::string_view bytes) {
  buffer_.erase(0, released_);
  line_start_ -= released_;
  searched_ -= released_;
  released_ = 0;
  next_lf_.reset();
  buffer_.append(bytes);
  if (!at_start_ || SkipByteOrderMark()) {
    while (ReadLine()) {
    }
  }
  if (held_bytes() > max_held_bytes_) {
    ReleasePart();
  }
  forwarded_ = forwarded_ || released_ > 0;
  return std::string_view(buffer_).substr(0, released_);
}

std::string_view EventSplitter::Finish() {
  released_ = buffer_.size();
  return buffer_;
}

StreamPosition EventSplitter::position() const noexcept {
  if (in_event_ || IsInField()) {
    return StreamPosition::kInEvent;
  }
  const bool in_line = line_start_ < buffer_.size() || in_rest_of_line_;
  return in_line || (after_cr_ && uses_crlf_) ? StreamPosition::kInLine
                                              : StreamPosition::kBetweenEvents;
}

bool EventSplitter::IsInField() const noexcept {
  return line_start_ < buffer_.size() && !in_rest_of_line_ &&
         buffer_[line_start_] != kComment;
}

// A mark is for the start of the caller's stream only.
bool EventSplitter::SkipByteOrderMark() {
  if (buffer_.size() < kByteOrderMark.size() &&
      kByteOrderMark.starts_with(buffer_)) {
    return false;
  }
  at_start_ = false;
  if (!buffer_.starts_with(kByteOrderMark)) {
    return true;
  }
  if (forwarded_) {
    buffer_.erase(0, kByteOrderMark.size());
  } else {
    line_start_ = searched_ = kByteOrderMark.size();
  }
  return true;
}

bool EventSplitter::ReadLine() {
  if (after_cr_ && line_start_ < buffer_.size()) {
    after_cr_ = false;
    if (buffer_[line_start_] == '\n') {
      uses_crlf_ = true;
      searched_ = ++line_start_;
      released_ = in_event_ ? released_ : line_start_;
    }
  }
  searched_ = FindLineEnd();
  if (searched_ == buffer_.size()) {
    return false;
  }
  const std::string_view line =
      std::string_view(buffer_).substr(line_start_, searched_ - line_start_);
  after_cr_ = buffer_[searched_] == '\r';
  HandleLine(line);
  line_start_ = ++searched_;
  released_ = in_event_ ? released_ : line_start_;
  return true;
}

// The next LF is searched once for all lines before it.
std::size_t EventSplitter::FindLineEnd() {
  if (!next_lf_ || *next_lf_ < searched_) {
    next_lf_ = std::min(buffer_.find('\n', searched_), buffer_.size());
  }
  const std::string_view before_lf =
      std::string_view(buffer_).substr(searched_, *next_lf_ - searched_);
  const std::size_t cr = before_lf.find('\r');
  return cr == std::string_view::npos ? *next_lf_ : searched_ + cr;
}

void EventSplitter::HandleLine(std::string_view line) {
  if (std::exchange(in_rest_of_line_, false)) {
    partly_released_ = in_event_;
    return;
  }
  if (line.empty()) {
    EndEvent();
    return;
  }
  if (line.front() == kComment) {
    return;
  }
  in_event_ = true;
  has_data_ = has_data_ || line.starts_with(kDataField);
  if (!line.starts_with(kIdField)) {
    return;
  }
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  id_ = line;
  has_id_ = true;
}

void EventSplitter::EndEvent() {
  if (!std::exchange(in_event_, false)) {
    return;
  }
  has_event_ = true;
  partly_released_ = false;
  const bool has_data = std::exchange(has_data_, false);
  if (std::exchange(has_id_, false)) {
    last_id_ = std::move(id_);
    can_resume_ = !last_id_.empty();
    ++events_;
  } else if (has_data) {
    can_resume_ = false;
  }
}

void EventSplitter::ReleasePart() {
  const std::string_view line = std::string_view(buffer_).substr(line_start_);
  if (IsInField()) {
    in_event_ = true;
    has_data_ = has_data_ || line.starts_with(kDataField);
  }
  in_rest_of_line_ = in_rest_of_line_ || !line.empty();
  partly_released_ = true;
  released_ = line_start_ = searched_ = buffer_.size();
}

}  // namespace lynxglade::request::passthrough
