// Bounds on what this process accepts and sends over HTTP, in one place.
#ifndef LYNXGLADE_CONNECTION_HTTP_LIMITS_H_
#define LYNXGLADE_CONNECTION_HTTP_LIMITS_H_

#include <cstddef>

namespace lynxglade::connection {

// Largest caller body; a job history of a million tokens fits.
inline constexpr std::size_t kMaxCallerBodyBytes = 8u << 20;
// Largest answer read from the platform; its values are at most a megabyte.
inline constexpr std::size_t kMaxPlatformBodyBytes = 8u << 20;
// Largest peer message.
inline constexpr std::size_t kMaxPeerMessageBytes = 256u << 10;
// Backlog of every listening socket; the library's own is 5.
inline constexpr int kListenBacklog = 1024;
// Stack of a connection thread.
inline constexpr std::size_t kConnectionStackBytes = 256u << 10;

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_HTTP_LIMITS_H_
