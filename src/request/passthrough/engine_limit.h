// What this instance knows and has sent of one target's request limit.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_LIMIT_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "request/passthrough/limit_share.h"
#include "request/passthrough/named_limit.h"
#include "request/passthrough/sliding_window_sum.h"

namespace lynxglade::request::passthrough {

// Span in which the platform counts the requests to a target with a limit.
inline constexpr base::Duration kLimitWindow = std::chrono::seconds(4);

// State of SendLimits for one lifetime of a target.
struct EngineLimit {
  NamedLimit named;
  // When the limit in force became known.
  base::Time named_at{};
  // An unreadable limit has been logged.
  bool malformed_logged = false;
  // This instance's requests to the target.
  SlidingWindowSum sends{kLimitWindow};
  std::optional<base::Time> last_send;

  // The share, and what it was computed from; empty until it is needed.
  std::optional<LimitShare> share;
  base::PerSecond share_of;
  std::uint64_t members_version = 0;
  int instance_count = 0;
  // When the next request of a sender is due. One may be sent an interval
  // earlier, to make up for one that came late.
  base::Time send_due{};
  // No request as a sender before this.
  base::Time sender_from{};
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_LIMIT_H_
