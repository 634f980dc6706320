// Messages in which instances hand usage counts to the ones that collect them,
// and their CBOR encoding.
#ifndef LYNXGLADE_PROCESS_USAGE_USAGE_MESSAGES_H_
#define LYNXGLADE_PROCESS_USAGE_USAGE_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/usage/fleet_clock.h"
#include "process/usage/usage_table.h"

namespace lynxglade::process::usage {

// Rows in one update, so that it fits into a datagram. Names beyond the length
// are not carried.
inline constexpr std::size_t kMaxUpdateRows = 150;
inline constexpr std::size_t kMaxUpdateBytes = 3900;

// Counts that changed, and the sender's clock.
struct UsageUpdate {
  // The sending process.
  OriginId origin;
  // The receiver has all changes of the sender up to this one, once it has this
  // update and acknowledged the previous one.
  ChangeNumber change;
  WallMillis time;
  std::vector<UsageRow> rows;
};

// Acknowledges an update.
struct UsageAck {
  // The acknowledging process.
  OriginId origin;
  ChangeNumber change;
  // The sender's estimate of the time of day by the clocks that it has samples
  // of, and the number of these.
  WallMillis time;
  int clocks = 1;
};

std::string EncodeUsageUpdate(const UsageUpdate& update);
// Nothing for malformed bytes.
std::optional<UsageUpdate> DecodeUsageUpdate(std::string_view bytes);

std::string EncodeUsageAck(const UsageAck& ack);
// Nothing for malformed bytes.
std::optional<UsageAck> DecodeUsageAck(std::string_view bytes);

}  // namespace lynxglade::process::usage

#endif  // LYNXGLADE_PROCESS_USAGE_USAGE_MESSAGES_H_
