#include "fakes/kv_blocks.h"

#include <utility>

#include "base/hash.h"

namespace lynxglade::fakes {

KvBlocks::KvBlocks(base::Clock clock, base::Duration lifetime)
    : clock_(std::move(clock)), lifetime_(lifetime) {}

void KvBlocks::AddEngine(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  engines_.try_emplace(engine);
}

std::string KvBlocks::Export(const std::string& engine, PromptHash prompt) {
  const base::Time now = clock_();
  const std::lock_guard lock(mutex_);
  Blocks& blocks = engines_[engine];
  std::erase_if(blocks, [now](const auto& it) { return it.second <= now; });
  std::string id = base::ToHex(prompt.value()) + "-" + std::to_string(next_++);
  blocks[id] = now + lifetime_;
  return id;
}

bool KvBlocks::Holds(const std::string& engine,
                     const std::string& block,
                     PromptHash prompt) const {
  if (!block.starts_with(base::ToHex(prompt.value()) + "-")) {
    return false;
  }
  const base::Time now = clock_();
  const std::lock_guard lock(mutex_);
  const auto it = engines_.find(engine);
  if (it == engines_.end()) {
    return true;
  }
  const auto held = it->second.find(block);
  return held != it->second.end() && now < held->second;
}

void KvBlocks::DropAll(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  engines_[engine].clear();
}

}  // namespace lynxglade::fakes
