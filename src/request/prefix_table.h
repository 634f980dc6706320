// Maps prompt prefixes to the targets that recently ran them.
//
// A bounded, lock-free cache. An entry may be overwritten by another prefix
// and, after a race, may name a target that never ran its prefix. Either costs
// at most a cache miss at the target.
#ifndef LYNXGLADE_REQUEST_PREFIX_TABLE_H_
#define LYNXGLADE_REQUEST_PREFIX_TABLE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lynxglade::request {

// Hashes of target ids, most recent first; 0 for an unused slot.
using PrefixTargets = std::array<std::uint64_t, 2>;

// Thread-safe.
class PrefixTable {
 public:
  // `entries` is rounded up to a power of two. An entry takes 24 bytes.
  explicit PrefixTable(std::size_t entries);
  PrefixTable(const PrefixTable&) = delete;
  PrefixTable& operator=(const PrefixTable&) = delete;

  PrefixTargets Find(std::uint64_t prefix) const noexcept;
  // Records that the prefix was sent to the target.
  void Add(std::uint64_t prefix, std::uint64_t target_hash) noexcept;
  // Records that the target no longer caches the prefix.
  void Remove(std::uint64_t prefix, std::uint64_t target_hash) noexcept;

 private:
  struct Entry {
    std::atomic<std::uint64_t> prefix{0};
    std::array<std::atomic<std::uint64_t>, 2> targets{};
  };
  Entry& Slot(std::uint64_t prefix) const noexcept;

  std::size_t mask_;
  std::unique_ptr<Entry[]> entries_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_PREFIX_TABLE_H_
