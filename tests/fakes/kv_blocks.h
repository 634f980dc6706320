// KV cache blocks exported by the fake engines of one process.
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

// Thread-safe. A block exists until it expires or its engine crashes.
class KvBlocks {
 public:
  KvBlocks(base::Clock clock, base::Duration lifetime);

  // Registers an engine, whose blocks are then tracked. A block of an
  // unregistered engine is accepted if its id matches the prompt.
  void AddEngine(const std::string& engine);
  // Returns the id of the new block.
  std::string Export(const std::string& engine, PromptHash prompt);
  // Whether the engine holds this block and it belongs to this prompt.
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
