// Inside of peer_link: messages that wait for one slow peer.
#ifndef LYNXGLADE_CONNECTION_PEER_LINK_QUEUE_H_
#define LYNXGLADE_CONNECTION_PEER_LINK_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "connection/peer_link.h"

namespace lynxglade::connection {

// First in, first out, bounded in bytes. Not thread-safe.
class PeerLinkQueue {
 public:
  explicit PeerLinkQueue(std::size_t max_bytes) noexcept
      : max_bytes_(max_bytes) {}

  // Appends a message and makes room by dropping the oldest droppable ones.
  // Returns how many were dropped; false in `fits` means that even so the
  // bound is passed and the link should be closed.
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

  // Only when not empty.
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
