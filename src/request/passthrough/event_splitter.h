// Splits a stream of server-sent events at event boundaries, so that only
// complete events are forwarded and a stream can be resumed at another engine.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lynxglade::request::passthrough {

// Where a stream stands after the bytes that were read.
enum class StreamPosition {
  kBetweenEvents,
  // In a line outside of events: a comment, or a CRLF of which only the CR was
  // read.
  kInLine,
  kInEvent,
};

// Lines end with LF, CRLF or CR, and an event with an empty line. A byte order
// mark may precede the first line. Comments and empty lines between events are
// forwarded as they come. An event or comment of which more is held back than
// allowed is forwarded in parts.
class EventSplitter {
 public:
  // `max_held_bytes`: of an incomplete event or comment.
  explicit EventSplitter(std::size_t max_held_bytes)
      : max_held_bytes_(max_held_bytes) {}

  // The stream goes on with the answer of another target, after the last
  // complete event.
  void Restart();
  // Takes the next bytes; returns those that can be forwarded, valid until the
  // next call.
  std::string_view Feed(std::string_view bytes);
  // The stream has ended outside of an event: returns what the last Feed()
  // did, and an unfinished line. Only Restart() may follow.
  std::string_view Finish();

  StreamPosition position() const noexcept;
  // Size of what is held back.
  std::size_t held_bytes() const noexcept { return buffer_.size() - released_; }
  // Whether an event was completed since Restart().
  bool has_event() const noexcept { return has_event_; }
  // Whether a target that resumes after last_id() repeats nothing that was
  // forwarded.
  bool can_resume() const noexcept { return can_resume_ && !partly_released_; }
  // Id of the last complete event with an id; empty if there was none.
  const std::string& last_id() const noexcept { return last_id_; }
  // Number of complete events with an id.
  int events() const noexcept { return events_; }

 private:
  // Returns false until the first bytes show whether they are a byte order
  // mark.
  bool SkipByteOrderMark();
  // Reads the next complete line; false if there is none.
  bool ReadLine();
  // The next line end from `searched_` on, or the size of the buffer.
  std::size_t FindLineEnd();
  void HandleLine(std::string_view line);
  void EndEvent();
  // Whether the current line, as far as it is held, belongs to an event.
  bool IsInField() const noexcept;
  // Releases what is held back, although it is incomplete.
  void ReleasePart();

  const std::size_t max_held_bytes_;
  // Bytes since the last complete event; those before `released_` were returned
  // by the last call.
  std::string buffer_;
  std::size_t released_ = 0;
  // Start of the current line, and how far it was searched for its end.
  std::size_t line_start_ = 0;
  std::size_t searched_ = 0;
  // Offset of the next LF, or the size of the buffer; empty until it is
  // searched.
  std::optional<std::size_t> next_lf_;

  bool at_start_ = true;
  // Bytes of this or an earlier answer were returned.
  bool forwarded_ = false;
  // The last line ended with a CR; a LF that follows belongs to it.
  bool after_cr_ = false;
  // An earlier line of this answer ended with CRLF.
  bool uses_crlf_ = false;
  // The start of the current line, and a part of the current event or comment,
  // were released by ReleasePart().
  bool in_rest_of_line_ = false;
  bool partly_released_ = false;
  bool in_event_ = false;
  bool has_event_ = false;
  // Of the current event.
  std::string id_;
  bool has_id_ = false;
  bool has_data_ = false;

  bool can_resume_ = true;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_
