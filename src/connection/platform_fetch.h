// HTTP reads from the platform's services (instance list, weight store).
#ifndef LYNXGLADE_CONNECTION_PLATFORM_FETCH_H_
#define LYNXGLADE_CONNECTION_PLATFORM_FETCH_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace lynxglade::connection {

// Why a read from the platform failed.
enum class PlatformError {
  kNone,
  // No connection, or no answer within the timeout.
  kUnreachable,
  kRateLimited,
  // The status is not 200, or the body is malformed.
  kBadAnswer,
  // The answer is older than the held data and was discarded.
  kOlder,
};
std::string_view ToString(PlatformError error) noexcept;

struct PlatformAnswer {
  int status = 0;
  std::string body;
};

// Sends GET for a path. Returns nullopt if there was no answer. Blocks;
// thread-safe.
using PlatformFetch =
    std::function<std::optional<PlatformAnswer>(const std::string& path)>;

// Fetches from "http://address:port" with one connection per call. `timeout`
// applies to each step, kMaxPlatformBodyBytes to the body.
PlatformFetch MakeHttpPlatformFetch(const std::string& base_url,
                                    base::Duration timeout);

// Fetches a path and returns the body, or nullopt with `last_error` set.
std::optional<std::string> FetchBody(const PlatformFetch& fetch,
                                     const std::string& path,
                                     PlatformError* last_error);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PLATFORM_FETCH_H_
