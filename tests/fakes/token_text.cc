#include "fakes/token_text.h"

#include <algorithm>

#include "base/hash.h"

namespace lynxglade::fakes {

namespace {

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kTokenDigits = 4;

}  // namespace

PromptHash HashPrompt(std::string_view prompt) noexcept {
  return PromptHash(base::Hash64(prompt));
}

base::Tokens CountPromptTokens(std::string_view prompt) noexcept {
  const auto n = static_cast<std::int64_t>(prompt.size());
  const std::int64_t tokens = (n + kBytesPerToken - 1) / kBytesPerToken;
  return base::Tokens(std::max<std::int64_t>(1, tokens));
}

std::string TokenText(PromptHash prompt, std::int64_t index) {
  const std::string number = std::to_string(index);
  const std::string digits = base::ToHex(base::Hash64(number, prompt.value()));
  return number + ':' + digits.substr(0, kTokenDigits) + ' ';
}

std::string AnswerText(PromptHash prompt,
                       std::int64_t first,
                       std::int64_t last) {
  std::string text;
  for (std::int64_t i = first; i < last; ++i) {
    text += TokenText(prompt, i);
  }
  return text;
}

}  // namespace lynxglade::fakes
