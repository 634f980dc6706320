#include "request/passthrough/part_hashes.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace lynxglade::request::passthrough {

std::vector<ContentHash> HashSharedParts(const Prompt& prompt) {
  std::vector<ContentHash> hashes;
  if (prompt.parts.size() < 2) {
    return hashes;
  }
  std::ranges::transform(
      prompt.parts | std::views::take(prompt.parts.size() - 1),
      std::back_inserter(hashes), [](const PromptPart& it) {
        return HashContent({"part of a prompt", it.id});
      });
  std::ranges::sort(hashes);
  const auto repeated = std::ranges::unique(hashes);
  hashes.erase(repeated.begin(), repeated.end());
  return hashes;
}

}  // namespace lynxglade::request::passthrough
