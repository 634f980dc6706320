// The prefix cache of a fake engine: LRU eviction, capacity in tokens.
#ifndef LYNXGLADE_FAKES_PREFIX_CACHE_H_
#define LYNXGLADE_FAKES_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/units.h"

namespace lynxglade::fakes {

// One change of the cache; `prefix` is the hint of the requests.
struct CacheEvent {
  std::int64_t seq = 0;
  bool stored = false;
  std::string prefix;
};

// One entry per hint. Two prompts with the same hint share their common leading
// blocks, so a hint shared by unrelated prompts saves nothing. Not thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(base::Tokens capacity) noexcept : capacity_(capacity) {}

  // Tokens of `prompt` that are cached under `hint`; marks the entry as most
  // recently used.
  base::Tokens Lookup(const std::string& hint, std::string_view prompt);
  // Stores the prompt under `hint`, evicting the least recently used entries.
  void Store(const std::string& hint, std::string_view prompt);
  void Clear();

  // The latest changes, oldest first; limited in number.
  const std::list<CacheEvent>& events() const noexcept { return events_; }
  base::Tokens used() const noexcept { return used_; }

 private:
  struct Entry {
    std::string hint;
    std::vector<std::uint64_t> blocks;
  };
  using Entries = std::list<Entry>;

  void Evict();
  void Report(bool stored, const std::string& hint);

  base::Tokens capacity_;
  base::Tokens used_{0};
  Entries entries_;  // most recent first
  std::unordered_map<std::string, Entries::iterator> by_hint_;
  std::list<CacheEvent> events_;
  std::int64_t next_seq_ = 1;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_PREFIX_CACHE_H_
