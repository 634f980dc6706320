#include "connection/platform_fetch.h"

#include <httplib.h>

#include <utility>

#include "connection/http_limits.h"

namespace lynxglade::connection {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;

std::optional<PlatformAnswer> Fetch(const std::string& base_url,
                                    base::Duration timeout,
                                    const std::string& path) {
  httplib::Client client(base_url);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  const base::Time deadline = base::BootClock::now() + timeout;
  std::string body;
  const auto take = [&](const char* data, std::size_t n) {
    body.append(data, n);
    return body.size() <= kMaxPlatformBodyBytes &&
           base::BootClock::now() < deadline;
  };
  const httplib::Result result = client.Get(path, take);
  if (!result) {
    return std::nullopt;
  }
  return PlatformAnswer{result->status, std::move(body)};
}

}  // namespace

std::string_view ToString(PlatformError error) noexcept {
  switch (error) {
    case PlatformError::kNone:
      return "none";
    case PlatformError::kUnreachable:
      return "unreachable";
    case PlatformError::kRateLimited:
      return "rate_limited";
    case PlatformError::kOlder:
      return "older";
    case PlatformError::kBadAnswer:
      break;
  }
  return "bad_answer";
}

PlatformFetch MakeHttpPlatformFetch(const std::string& base_url,
                                    base::Duration timeout) {
  return [base_url, timeout](const std::string& path) {
    return Fetch(base_url, timeout, path);
  };
}

std::optional<std::string> FetchBody(const PlatformFetch& fetch,
                                     const std::string& path,
                                     PlatformError* last_error) {
  std::optional<PlatformAnswer> answer = fetch(path);
  if (!answer) {
    *last_error = PlatformError::kUnreachable;
    return std::nullopt;
  }
  if (answer->status != kHttpOk) {
    *last_error = answer->status == kHttpTooManyRequests
                      ? PlatformError::kRateLimited
                      : PlatformError::kBadAnswer;
    return std::nullopt;
  }
  *last_error = PlatformError::kNone;
  return std::move(answer->body);
}

}  // namespace lynxglade::connection
