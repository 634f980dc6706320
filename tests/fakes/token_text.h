// The text that a stand-in engine generates.
//
// Token i of an answer is a pure function of the prompt and i, so a stream
// resumed on another engine continues the same answer, and a test can say
// whether a caller got every token once.
#ifndef LYNXGLADE_FAKES_TOKEN_TEXT_H_
#define LYNXGLADE_FAKES_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/units.h"

namespace lynxglade::fakes {

// Names what an engine runs: equal prompts have equal hashes.
using PromptHash = base::StrongNumber<struct PromptHashTag, std::uint64_t>;

// `prompt` is the text of all messages, one after the other.
PromptHash HashPrompt(std::string_view prompt) noexcept;

// One token for every four bytes, at least 1.
base::Tokens CountPromptTokens(std::string_view prompt) noexcept;

// "<index>:<4 hex digits> "; the index makes a lost or doubled token plain.
std::string TokenText(PromptHash prompt, std::int64_t index);

// Tokens `first` to `last` (not included), as one text.
std::string AnswerText(PromptHash prompt,
                       std::int64_t first,
                       std::int64_t last);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_TOKEN_TEXT_H_
