#include "fakes/prefix_cache.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"

namespace lynxglade::fakes {

namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr std::int64_t kBlockTokens = 16;
constexpr std::size_t kMaxEvents = 4096;

// The hash of each block covers all blocks before it, so equal hashes mean
// equal prefixes. An incomplete block is never shared.
std::vector<std::uint64_t> HashBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks(prompt.size() / kBlockBytes);
  std::uint64_t chain = 0;
  std::ranges::generate(blocks, [&] {
    chain = base::Hash64(prompt.substr(0, kBlockBytes), chain);
    prompt.remove_prefix(kBlockBytes);
    return chain;
  });
  return blocks;
}

base::Tokens TokensOf(std::size_t blocks) {
  return base::Tokens(static_cast<std::int64_t>(blocks) * kBlockTokens);
}

}  // namespace

base::Tokens PrefixCache::Lookup(const std::string& hint,
                                 std::string_view prompt) {
  const auto it = by_hint_.find(hint);
  if (it == by_hint_.end()) {
    return base::Tokens(0);
  }
  entries_.splice(entries_.begin(), entries_, it->second);
  const std::vector<std::uint64_t> wanted = HashBlocks(prompt);
  const std::vector<std::uint64_t>& kept = it->second->blocks;
  const auto common = std::ranges::mismatch(wanted, kept);
  return TokensOf(std::distance(wanted.begin(), common.in1));
}

void PrefixCache::Store(const std::string& hint, std::string_view prompt) {
  std::vector<std::uint64_t> blocks = HashBlocks(prompt);
  if (hint.empty() || blocks.empty() || TokensOf(blocks.size()) > capacity_) {
    return;
  }
  if (const auto it = by_hint_.find(hint); it != by_hint_.end()) {
    used_ -= TokensOf(it->second->blocks.size());
    it->second->blocks = std::move(blocks);
    entries_.splice(entries_.begin(), entries_, it->second);
  } else {
    entries_.push_front({hint, std::move(blocks)});
    by_hint_[hint] = entries_.begin();
    Report(true, hint);
  }
  used_ += TokensOf(entries_.front().blocks.size());
  Evict();
}

void PrefixCache::Clear() {
  std::ranges::for_each(
      entries_, [this](const Entry& entry) { Report(false, entry.hint); });
  entries_.clear();
  by_hint_.clear();
  used_ = base::Tokens(0);
}

void PrefixCache::Evict() {
  while (used_ > capacity_) {
    const Entry& last = entries_.back();
    used_ -= TokensOf(last.blocks.size());
    Report(false, last.hint);
    by_hint_.erase(last.hint);
    entries_.pop_back();
  }
}

void PrefixCache::Report(bool stored, const std::string& hint) {
  events_.push_back({next_seq_++, stored, hint});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

}  // namespace lynxglade::fakes
