// Reads one HTTP answer as its caller does, from the bytes alone; independent
// of the transport under test.
#ifndef LYNXGLADE_TESTS_CONNECTION_ANSWER_TEXT_H_
#define LYNXGLADE_TESTS_CONNECTION_ANSWER_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lynxglade::tests {

class AnswerText {
 public:
  // Takes the next bytes of the connection.
  void Feed(std::string_view bytes);
  // The connection has ended, by a close or by a reset.
  void EndConnection(bool reset);

  bool has_head() const noexcept { return has_head_; }
  // 0 before the head was read.
  unsigned status() const noexcept { return status_; }
  // The header's value; empty if it is missing.
  std::string Header(std::string_view name) const;
  // The body so far, without its framing.
  const std::string& body() const noexcept { return body_; }
  // Whether the answer, as it is framed, has ended.
  bool complete() const noexcept { return state_ == State::kDone; }
  // Whether it can no longer become complete.
  bool broken() const noexcept { return state_ == State::kBroken; }
  // Whether the connection may carry another request.
  bool keeps_connection() const;

 private:
  enum class State {
    kHead,
    kLength,
    kChunkSize,
    kChunk,
    kTrailer,
    kUntilClose,
    kDone,
    kBroken
  };

  // Each step returns false if it needs more bytes.
  bool Step();
  bool ReadHead();
  bool ReadSized();
  bool ReadChunkSize();
  bool ReadTrailer();
  std::optional<std::string> TakeLine();

  State state_ = State::kHead;
  // Received and not yet read.
  std::string rest_;
  std::string head_;
  std::string body_;
  bool has_head_ = false;
  unsigned status_ = 0;
  // Left of the body or of the chunk.
  std::size_t left_ = 0;
};

}  // namespace lynxglade::tests

#endif  // LYNXGLADE_TESTS_CONNECTION_ANSWER_TEXT_H_
