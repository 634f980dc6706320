// Checks that a response received by a caller is complete. Does no I/O.
#ifndef LYNXGLADE_BENCH_LOAD_ANSWER_CHECK_H_
#define LYNXGLADE_BENCH_LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace lynxglade::bench {

// Checks one stream of server-sent events incrementally.
class StreamCheck {
 public:
  StreamCheck() = default;
  StreamCheck(const StreamCheck&) = delete;
  StreamCheck& operator=(const StreamCheck&) = delete;

  // Processes the next bytes of the body, received at `now`.
  void Feed(std::string_view bytes, base::Time now);

  // finish_reason, usage and the end marker were received, the token count
  // matches and the stream is not broken().
  bool whole() const noexcept;
  // Reason code of an incomplete stream; empty if nothing is missing.
  std::string_view Missing() const noexcept;
  // A token is duplicated or missing, an event is malformed, or data follows
  // the end marker.
  bool broken() const noexcept { return broken_; }
  // False when a chunk has no token_count, as in a replayed recorded response;
  // the token count is not checked then.
  bool counted() const noexcept { return counted_; }
  bool has_tokens() const noexcept { return tokens_ > 0; }
  base::Time first_token() const noexcept { return first_token_; }
  // Seconds between tokens; the gap before a chunk is divided among its tokens.
  const std::vector<double>& gaps() const noexcept { return gaps_; }
  // `code` and `outcome` of an error event; empty without one.
  const std::string& error_code() const noexcept { return error_code_; }
  const std::string& error_outcome() const noexcept { return error_outcome_; }

 private:
  void HandleEvent(std::string_view data, base::Time now);
  void CountTokens(std::int64_t offset, std::int64_t count, base::Time now);

  std::string pending_;
  base::Time first_token_{};
  base::Time last_token_{};
  std::vector<double> gaps_;
  std::int64_t tokens_ = 0;
  std::int64_t usage_tokens_ = -1;  // -1: none received
  bool finished_ = false;
  bool done_ = false;
  bool broken_ = false;
  bool counted_ = true;
  std::string error_code_;
  std::string error_outcome_;
};

// Whether a non-streamed chat response is complete: it has text, finish_reason
// and usage.
bool IsWholeAnswer(const std::string& body);

// Fields of {"error":{"code","outcome","retry_after_ms"}}; absent ones stay
// empty.
struct ErrorBody {
  std::string code;
  std::string outcome;
  std::int64_t retry_after_ms = -1;  // -1: absent
};
ErrorBody ReadErrorBody(const std::string& body);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_ANSWER_CHECK_H_
