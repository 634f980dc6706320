// The text that a fake engine generates.
//
// Token i of a response is a pure function of the prompt and i, so a stream
// resumed on another engine continues the same response, and a test can check
// that a caller received each token exactly once.
#ifndef LYNXGLADE_FAKES_TOKEN_TEXT_H_
#define LYNXGLADE_FAKES_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/units.h"

namespace lynxglade::fakes {

// Identifies a prompt: equal prompts have equal hashes.
using PromptHash = base::StrongNumber<struct PromptHashTag, std::uint64_t>;

// `prompt` is the concatenated text of all messages.
PromptHash HashPrompt(std::string_view prompt) noexcept;

// One token per four bytes, rounded up; at least 1.
base::Tokens CountPromptTokens(std::string_view prompt) noexcept;

// "<index>:<4 hex digits> "; the index reveals lost and duplicated tokens.
std::string TokenText(PromptHash prompt, std::int64_t index);

// The text of the tokens [first, last).
std::string AnswerText(PromptHash prompt,
                       std::int64_t first,
                       std::int64_t last);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_TOKEN_TEXT_H_
