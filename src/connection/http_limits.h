// Limits for HTTP and peer connections.
#ifndef LYNXGLADE_CONNECTION_HTTP_LIMITS_H_
#define LYNXGLADE_CONNECTION_HTTP_LIMITS_H_

#include <cstddef>

namespace lynxglade::connection {

// Largest caller body; fits a prompt of about a million tokens.
inline constexpr std::size_t kMaxCallerBodyBytes = 8u << 20;
// Largest answer read from the platform.
inline constexpr std::size_t kMaxPlatformBodyBytes = 8u << 20;
// Largest peer message.
inline constexpr std::size_t kMaxPeerMessageBytes = 256u << 10;
// Backlog of listening sockets; the HTTP library's default of 5 is too small.
inline constexpr int kListenBacklog = 1024;
// Stack size of a connection thread.
inline constexpr std::size_t kConnectionStackBytes = 256u << 10;

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_HTTP_LIMITS_H_
