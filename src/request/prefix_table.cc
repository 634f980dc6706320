#include "request/prefix_table.h"

#include <algorithm>
#include <bit>

namespace lynxglade::request {

PrefixTable::PrefixTable(std::size_t entries)
    : mask_(std::bit_ceil(std::max<std::size_t>(entries, 1)) - 1),
      entries_(std::make_unique<Entry[]>(mask_ + 1)) {}

PrefixTable::Entry& PrefixTable::Slot(std::uint64_t prefix) const noexcept {
  return entries_[prefix & mask_];
}

PrefixTargets PrefixTable::Find(std::uint64_t prefix) const noexcept {
  const Entry& entry = Slot(prefix);
  if (prefix == 0 || entry.prefix.load(std::memory_order_relaxed) != prefix) {
    return {};
  }
  return {entry.targets[0].load(std::memory_order_relaxed),
          entry.targets[1].load(std::memory_order_relaxed)};
}

void PrefixTable::Add(std::uint64_t prefix,
                      std::uint64_t target_hash) noexcept {
  if (prefix == 0) {
    return;
  }
  Entry& entry = Slot(prefix);
  if (entry.prefix.exchange(prefix, std::memory_order_relaxed) != prefix) {
    entry.targets[0].store(target_hash, std::memory_order_relaxed);
    entry.targets[1].store(0, std::memory_order_relaxed);
    return;
  }
  const std::uint64_t newest = entry.targets[0].load(std::memory_order_relaxed);
  if (newest != target_hash) {
    entry.targets[1].store(newest, std::memory_order_relaxed);
    entry.targets[0].store(target_hash, std::memory_order_relaxed);
  }
}

void PrefixTable::Remove(std::uint64_t prefix,
                         std::uint64_t target_hash) noexcept {
  Entry& entry = Slot(prefix);
  if (prefix == 0 || entry.prefix.load(std::memory_order_relaxed) != prefix) {
    return;
  }
  for (auto& it : entry.targets) {
    std::uint64_t seen = target_hash;
    it.compare_exchange_strong(seen, 0, std::memory_order_relaxed);
  }
}

}  // namespace lynxglade::request
