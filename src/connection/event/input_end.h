// Tells whether the input of a connection ended in order.
//
// The kernel reports a reset once, to whichever call on the socket comes first.
// If that is a write, the read that follows sees an end like that of a peer
// which has closed its side. So the end of the input proves nothing while a
// write is under way or after one has failed: a write fails with ECONNRESET if
// the reset came first, and with EPIPE if the peer had closed its side before.
#ifndef LYNXGLADE_CONNECTION_EVENT_INPUT_END_H_
#define LYNXGLADE_CONNECTION_EVENT_INPUT_END_H_

#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Of one connection. Not thread-safe.
class InputEnd {
 public:
  explicit InputEnd(const Tcp::socket::executor_type& executor);
  InputEnd(const InputEnd&) = delete;
  InputEnd& operator=(const InputEnd&) = delete;

  // Called around each write to the connection.
  void OnWriteBegun();
  void OnWriteEnded(const ErrorCode& ec);
  // Whether the peer closed its side, and did not reset the connection before.
  // To be called when a read has seen the end of the input.
  Awaitable<bool> IsOrderly(Tcp::socket& socket);

 private:
  bool writes_ = false;
  ErrorCode error_;
  // Cancelled when a write ends.
  asio::steady_timer write_ended_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_INPUT_END_H_
