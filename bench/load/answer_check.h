// Proves from what the caller received that an answer is whole.
//
// Pure: bytes and times in, verdict out.
#ifndef LYNXGLADE_BENCH_LOAD_ANSWER_CHECK_H_
#define LYNXGLADE_BENCH_LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace lynxglade::bench {

// Follows one stream of server-sent events.
class StreamCheck {
 public:
  StreamCheck() = default;
  StreamCheck(const StreamCheck&) = delete;
  StreamCheck& operator=(const StreamCheck&) = delete;

  // Takes the next bytes of the body, received at `now`.
  void Feed(std::string_view bytes, base::Time now);

  // finish_reason, usage and the end marker came, and the tokens add up.
  bool whole() const noexcept;
  // What is missing for whole(); empty when nothing is.
  std::string_view Missing() const noexcept;
  // A token came twice, was left out, or the end marker was followed by more.
  bool broken() const noexcept { return broken_; }
  // False when a chunk did not say how many tokens it has, as a recorded answer
  // that is given again: the count cannot be checked then.
  bool counted() const noexcept { return counted_; }
  bool has_tokens() const noexcept { return tokens_ > 0; }
  base::Time first_token() const noexcept { return first_token_; }
  // Seconds between tokens: a chunk's gap is split over its tokens.
  const std::vector<double>& gaps() const noexcept { return gaps_; }
  // `code` and `outcome` of an error event; empty when none came.
  const std::string& error_code() const noexcept { return error_code_; }
  const std::string& error_outcome() const noexcept { return error_outcome_; }

 private:
  void TakeEvent(std::string_view data, base::Time now);
  void TakeTokens(std::int64_t offset, std::int64_t count, base::Time now);

  std::string pending_;
  base::Time first_token_{};
  base::Time last_token_{};
  std::vector<double> gaps_;
  std::int64_t tokens_ = 0;
  std::int64_t usage_tokens_ = -1;  // none came
  bool finished_ = false;
  bool done_ = false;
  bool broken_ = false;
  bool counted_ = true;
  std::string error_code_;
  std::string error_outcome_;
};

// Verdict on a whole (not streamed) chat answer: finish_reason and usage are
// there and there is text.
bool IsWholeAnswer(const std::string& body);

// Reads {"error":{"code","outcome","retry_after_ms"}}; fields that are absent
// stay empty.
struct ErrorBody {
  std::string code;
  std::string outcome;
  std::int64_t retry_after_ms = -1;  // none given
};
ErrorBody ReadErrorBody(const std::string& body);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_ANSWER_CHECK_H_
