// Which targets ran a prompt prefix lately.
//
// A bounded, lock-free cache: a prefix may be forgotten or, after a race,
// point to a target that never ran it. Both cost a cache miss at the target,
// never a wrong answer.
#ifndef LYNXGLADE_REQUEST_PREFIX_TABLE_H_
#define LYNXGLADE_REQUEST_PREFIX_TABLE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lynxglade::request {

// Hashes of target ids, newest first; 0 where none.
using PrefixTargets = std::array<std::uint64_t, 2>;

// Thread-safe.
class PrefixTable {
 public:
  // `entries` is rounded up to a power of two; 24 bytes each.
  explicit PrefixTable(std::size_t entries);
  PrefixTable(const PrefixTable&) = delete;
  PrefixTable& operator=(const PrefixTable&) = delete;

  PrefixTargets Find(std::uint64_t prefix) const noexcept;
  // The prefix went to that target.
  void Add(std::uint64_t prefix, std::uint64_t target_hash) noexcept;
  // The target no longer caches the prefix.
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
