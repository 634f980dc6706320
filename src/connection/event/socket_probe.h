// Socket helpers: checks that do not consume input, closing, and timeouts.
#ifndef LYNXGLADE_CONNECTION_EVENT_SOCKET_PROBE_H_
#define LYNXGLADE_CONNECTION_EVENT_SOCKET_PROBE_H_

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Whether the peer has closed the connection or unread bytes have arrived.
bool HasInput(Tcp::socket& socket) noexcept;

// Whether the peer has closed the connection and no unread bytes are left.
bool PeerClosed(Tcp::socket& socket) noexcept;

// Whether the peer has closed its side, and the connection is still there in
// the other direction: it was not reset.
bool HasPeerClosedItsSide(Tcp::socket& socket) noexcept;

// Bytes sent but not acknowledged by the peer; 0 if unknown. Bytes not yet sent
// because the peer's receive window is full do not count.
int UnacknowledgedBytes(Tcp::socket& socket) noexcept;

// Closes the socket and ignores errors.
void CloseSocket(Tcp::socket& socket) noexcept;
// Resets the connection and discards unsent data. After a plain close the
// kernel would go on sending it, possibly seconds later when a network
// partition ends.
void ResetSocket(Tcp::socket& socket) noexcept;
// While set, any close of the socket resets the connection, also one by the end
// of the process.
void SetResetOnClose(Tcp::socket& socket, bool reset) noexcept;
// Shuts down the sending side, then closes.
void ShutdownAndClose(Tcp::socket& socket) noexcept;
// Cancels pending operations on the socket, which stays open.
void CancelWaits(Tcp::socket& socket) noexcept;

// How long a connection that TuneSocket() has set up may be silent, with
// nothing to acknowledge, before it ends because its peer is dead.
base::Duration SilenceLimit(base::Duration user_timeout) noexcept;

// Enables keep-alive probes and TCP_USER_TIMEOUT, so that a connection whose
// peer is dead ends: after `user_timeout` with unacknowledged data, else after
// SilenceLimit(). Also disables Nagle's algorithm. Errors are ignored, since
// request deadlines apply in any case.
void TuneSocket(Tcp::socket& socket, base::Duration user_timeout) noexcept;

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_SOCKET_PROBE_H_
