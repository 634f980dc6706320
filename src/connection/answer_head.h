// Checks the head of an HTTP answer line by line, by RFC 9110 and 9112.
//
// For clients whose library takes more for a head than that: what is no valid
// head may hide a body of another length, or another answer.
#ifndef LYNXGLADE_CONNECTION_ANSWER_HEAD_H_
#define LYNXGLADE_CONNECTION_ANSWER_HEAD_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace lynxglade::connection {

// Not thread-safe.
class AnswerHead {
 public:
  // Takes a line with its end. Returns false if it is not valid there, or if
  // the head cannot be followed by a body that is understood.
  bool Take(std::string_view line);
  // Whether the empty line after the head was taken. The head of an interim
  // answer is followed by another one.
  bool complete() const noexcept { return complete_; }

 private:
  bool TakeStatus(std::string_view line);
  bool TakeField(std::string_view line);
  bool TakeEnd();

  bool has_status_ = false;
  bool complete_ = false;
  bool is_interim_ = false;
  bool is_http10_ = false;
  bool is_chunked_ = false;
  std::optional<std::int64_t> length_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_ANSWER_HEAD_H_
