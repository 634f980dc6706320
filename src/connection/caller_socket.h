// Notices that a caller has closed its connection while its request waits.
//
// The HTTP library tells of that only when something is written. This looks
// for the connection's descriptor by its two addresses, once, and asks the
// kernel afterwards; it works with and without TLS.
#ifndef LYNXGLADE_CONNECTION_CALLER_SOCKET_H_
#define LYNXGLADE_CONNECTION_CALLER_SOCKET_H_

#include <mutex>
#include <optional>
#include <string>

#include "base/time.h"

namespace lynxglade::connection {

// One end of a connection as the library names it.
struct SocketName {
  std::string address;
  int port = 0;
};

// Thread-safe. Lives no longer than the handler of the connection's request,
// so the descriptor stays the connection's.
class CallerSocket {
 public:
  CallerSocket(SocketName local, SocketName remote);
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;

  // True once the caller has closed its end. False also while the request is
  // younger than 300 ms, which spares most requests the search, and when the
  // descriptor is not found; a write then finds out.
  bool Closed() const;

 private:
  const SocketName local_;
  const SocketName remote_;
  const base::Time since_;
  mutable std::once_flag looked_;
  mutable std::optional<int> fd_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CALLER_SOCKET_H_
