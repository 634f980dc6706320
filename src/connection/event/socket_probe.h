// What a socket tells without being read, and how long it may stay silent.
#ifndef LYNXGLADE_CONNECTION_EVENT_SOCKET_PROBE_H_
#define LYNXGLADE_CONNECTION_EVENT_SOCKET_PROBE_H_

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Whether the other end has closed the connection or sent bytes that nobody
// has read.
bool HasInput(Tcp::socket& socket) noexcept;

// Whether the other end has closed and no unread byte stands before that.
bool PeerClosed(Tcp::socket& socket) noexcept;

// Bytes sent that the other end has not acknowledged; 0 if that cannot be told.
// What waits for the other end to read does not count.
int UnacknowledgedBytes(Tcp::socket& socket) noexcept;

// Close without a word: what an error could say does not matter any more.
void CloseSocket(Tcp::socket& socket) noexcept;
// Closes and drops what has not reached the other end. A plain close sends it
// on, and behind a partition that may be seconds later.
void ResetSocket(Tcp::socket& socket) noexcept;
// Ends the sending side and closes.
void ShutdownAndClose(Tcp::socket& socket) noexcept;
// Ends what waits on the socket, which stays open.
void CancelWaits(Tcp::socket& socket) noexcept;

// Ends a silent connection by keep-alive probes and TCP_USER_TIMEOUT, and
// turns Nagle's delay off. Errors are of no consequence: the deadline holds.
void TuneSocket(Tcp::socket& socket, base::Duration user_timeout) noexcept;

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_SOCKET_PROBE_H_
