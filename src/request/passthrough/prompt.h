// Description of a prompt, without its text.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PROMPT_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PROMPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace lynxglade::request::passthrough {

// One part of a prompt. Requests with equal parts up to and including this one
// share the KV cache of these parts.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

// The last part belongs to the request (or its session) alone; those before are
// shared. No parts: the request has no prompt.
struct Prompt {
  std::vector<PromptPart> parts;

  bool empty() const noexcept { return parts.empty(); }
  // The last shared part, or null.
  const PromptPart* Shared() const noexcept {
    return parts.size() < 2 ? nullptr : &parts[parts.size() - 2];
  }
  // Tokens of the request's own part.
  std::int64_t OwnTokens() const noexcept {
    return parts.empty() ? 0 : parts.back().tokens;
  }
  std::int64_t TotalTokens() const noexcept {
    std::int64_t sum = 0;
    for (const PromptPart& part : parts) {
      sum += part.tokens;
    }
    return sum;
  }
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PROMPT_H_
