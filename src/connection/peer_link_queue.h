// Send queue of one peer link. Private to peer_link.
#ifndef LYNXGLADE_CONNECTION_PEER_LINK_QUEUE_H_
#define LYNXGLADE_CONNECTION_PEER_LINK_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "connection/peer_link.h"

namespace lynxglade::connection {

// FIFO bounded in bytes. Not thread-safe.
class PeerLinkQueue {
 public:
  explicit PeerLinkQueue(std::size_t max_bytes) noexcept
      : max_bytes_(max_bytes) {}

  // Appends a message, dropping the oldest droppable ones while the queue
  // exceeds its bound. Returns the number of dropped messages. `fits` is set to
  // false if the queue still exceeds its bound; the link should be closed then.
  std::size_t Push(std::string message, PeerMessageClass cls, bool* fits) {
    bytes_ += message.size();
    waiting_.push_back({std::move(message), cls});
    std::size_t dropped = 0;
    while (bytes_ > max_bytes_ && DropOldest()) {
      ++dropped;
    }
    *fits = bytes_ <= max_bytes_;
    return dropped;
  }

  // The queue must not be empty.
  std::string Pop() {
    std::string message = std::move(waiting_.front().message);
    waiting_.pop_front();
    bytes_ -= message.size();
    return message;
  }

  bool empty() const noexcept { return waiting_.empty(); }
  std::size_t bytes() const noexcept { return bytes_; }

 private:
  struct Entry {
    std::string message;
    PeerMessageClass cls;
  };

  bool DropOldest() {
    const auto it = std::find_if(
        waiting_.begin(), waiting_.end(),
        [](const Entry& e) { return e.cls == PeerMessageClass::kDroppable; });
    if (it == waiting_.end()) {
      return false;
    }
    bytes_ -= it->message.size();
    waiting_.erase(it);
    return true;
  }

  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<Entry> waiting_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PEER_LINK_QUEUE_H_
