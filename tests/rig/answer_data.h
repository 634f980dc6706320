// What the rig's engines answer: bytes that belong to one request only, so that
// pieces of two runs, missing and repeated ones show.
#ifndef LYNXGLADE_TESTS_RIG_ANSWER_DATA_H_
#define LYNXGLADE_TESTS_RIG_ANSWER_DATA_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/hash.h"

namespace lynxglade::rig {

// What delimits an answer.
enum class AnswerFraming { kLength, kChunks, kConnection };

inline std::string AnswerData(const std::string& attempt,
                              int number,
                              std::size_t bytes) {
  std::string data =
      std::to_string(base::Hash64(attempt + '/' + std::to_string(number)));
  data.resize(bytes, 'x');
  return data;
}

// One event of the stream that answers an attempt; any engine makes the same.
inline std::string EventText(const std::string& attempt, int number) {
  constexpr std::size_t kDataBytes = 75;
  return "id: " + std::to_string(number) +
         "\ndata: " + AnswerData(attempt, number, kDataBytes) + "\n\n";
}

inline std::string PlainBody(const std::string& attempt) {
  constexpr std::size_t kBodyBytes = 800;
  return AnswerData(attempt, 0, kBodyBytes);
}

// Number of events of an answer: one for the first token, for each
// `tokens_per_event`th one, and for the last.
inline int EventsOf(std::int64_t tokens, int tokens_per_event) {
  const bool has_rest = tokens > 1 && tokens % tokens_per_event != 0;
  return static_cast<int>(1 + tokens / tokens_per_event) + (has_rest ? 1 : 0);
}

// Tokens that were generated with an event.
inline std::int64_t TokensAt(int event,
                             std::int64_t tokens,
                             int tokens_per_event) {
  if (event <= 0) {
    return 0;
  }
  const std::int64_t at =
      event == 1 ? 1 : std::int64_t{event - 1} * tokens_per_event;
  return at < tokens ? at : tokens;
}

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_ANSWER_DATA_H_
