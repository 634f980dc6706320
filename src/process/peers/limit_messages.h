// CBOR messages by which instances tell each other the request limits that
// targets name.
#ifndef LYNXGLADE_PROCESS_PEERS_LIMIT_MESSAGES_H_
#define LYNXGLADE_PROCESS_PEERS_LIMIT_MESSAGES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace lynxglade::process::peers {

// Reports in one message.
inline constexpr std::size_t kMaxLimitReports = 32;
// Older reports are not sent.
inline constexpr base::Duration kMaxLimitReportAge = std::chrono::seconds(60);

// The limit that one lifetime of a target names, as an answer stated it.
struct LimitReport {
  base::TargetId target;
  // The lifetime; nothing on platforms that do not report it.
  std::optional<base::StartMillis> start_time;
  // Nothing if the limit has ended.
  std::optional<base::PerSecond> rate;
  // When the answer's request was sent and when the answer was received, before
  // the message was sent.
  base::Duration sent_ago{};
  base::Duration received_ago{};

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

// Encodes an array of the version and, for each report, [target, start or null,
// thousandths of the rate (rounded down) or null, milliseconds since the
// request was sent (rounded up), milliseconds since the answer was received
// (rounded down)]. Reports beyond the maximum are left out.
std::string EncodeLimits(const std::vector<LimitReport>& reports);
// Returns nullopt for malformed bytes.
std::optional<std::vector<LimitReport>> DecodeLimits(std::string_view bytes);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_LIMIT_MESSAGES_H_
