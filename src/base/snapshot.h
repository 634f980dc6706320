// An immutable value that is read often and replaced as a whole.
#ifndef LYNXGLADE_BASE_SNAPSHOT_H_
#define LYNXGLADE_BASE_SNAPSHOT_H_

#include <atomic>
#include <memory>
#include <utility>

namespace lynxglade::base {

// Thread-safe. A handle from Get() keeps its value alive, also after Set().
template <typename T>
class Snapshot {
 public:
  using Handle = std::shared_ptr<const T>;

  Snapshot() : value_(std::make_shared<const T>()) {}
  explicit Snapshot(T value)
      : value_(std::make_shared<const T>(std::move(value))) {}
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  void Set(T value) {
    value_.store(std::make_shared<const T>(std::move(value)));
  }

  Handle Get() const { return value_.load(); }

 private:
  std::atomic<Handle> value_;
};

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_SNAPSHOT_H_
