// The exported KV caches that engines of one process hold for each other.
#ifndef LYNXGLADE_FAKES_KV_BLOCKS_H_
#define LYNXGLADE_FAKES_KV_BLOCKS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/time.h"
#include "fakes/token_text.h"

namespace lynxglade::fakes {

// Thread-safe. A block lives until it expires or its engine crashes.
class KvBlocks {
 public:
  KvBlocks(base::Clock clock, base::Duration lifetime);

  // Announces an engine, whose blocks are then known exactly. Blocks of other
  // engines are believed by their id alone.
  void AddEngine(const std::string& engine);
  // Returns the block's id.
  std::string Export(const std::string& engine, PromptHash prompt);
  // Whether the engine still has that block, and it is of that prompt.
  bool Holds(const std::string& engine,
             const std::string& block,
             PromptHash prompt) const;
  void DropAll(const std::string& engine);

 private:
  using Blocks = std::map<std::string, base::Time>;

  base::Clock clock_;
  base::Duration lifetime_;
  mutable std::mutex mutex_;
  std::map<std::string, Blocks> engines_;
  std::uint64_t next_ = 1;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_KV_BLOCKS_H_
