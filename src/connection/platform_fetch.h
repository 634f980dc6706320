// One read from the platform's HTTP services (instance list, weight store).
#ifndef LYNXGLADE_CONNECTION_PLATFORM_FETCH_H_
#define LYNXGLADE_CONNECTION_PLATFORM_FETCH_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace lynxglade::connection {

// Why a read from the platform gave nothing new.
enum class PlatformError {
  kNone,
  // No connection, or no answer in time.
  kUnreachable,
  kRateLimited,
  // Another status than 200, or a body that does not read as it should.
  kBadAnswer,
  // The answer is older than what is held; it was not taken.
  kOlder,
};
std::string_view ToString(PlatformError error) noexcept;

struct PlatformAnswer {
  int status = 0;
  std::string body;
};

// GETs a path. Returns nothing when there was no answer. Blocks; thread-safe.
using PlatformFetch =
    std::function<std::optional<PlatformAnswer>(const std::string& path)>;

// Fetches from "http://address:port" over cpp-httplib, one connection a call,
// each step of it bounded by `timeout` and the body by kMaxPlatformBodyBytes.
PlatformFetch MakeHttpPlatformFetch(const std::string& base_url,
                                    base::Duration timeout);

// The body of a fetch that went well; the typed reason otherwise.
std::optional<std::string> FetchBody(const PlatformFetch& fetch,
                                     const std::string& path,
                                     PlatformError* last_error);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PLATFORM_FETCH_H_
