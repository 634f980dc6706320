#include "process/usage/usage_messages.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::usage {

namespace {

using connection::CborWhole;
using nlohmann::json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kRowMembers = 3;
// Version, origin, change and time.
constexpr std::size_t kUpdateHeadMembers = 4;
// The same, and the number of clocks.
constexpr std::size_t kAckMembers = 5;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxNumber =
    std::numeric_limits<std::int64_t>::max() / 2;
constexpr std::uint64_t kMaxCount = 1'000'000'000;
constexpr std::uint64_t kMaxClocks = 100'000;
constexpr connection::CborLimits kLimits{.max_bytes = 4096,
                                         .max_depth = 3,
                                         .max_elements = 8 * kMaxUpdateRows};

std::optional<std::string> Name(const json& value) {
  if (!value.is_string() ||
      value.get_ref<const std::string&>().size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return value.get<std::string>();
}

// [window, organisation, count].
bool ParseRow(const json& row, const OriginId& origin, UsageRow* parsed) {
  if (!row.is_array() || row.size() != kRowMembers) {
    return false;
  }
  const auto window = CborWhole(row[0], kMaxNumber);
  const auto organisation = Name(row[1]);
  const auto count = CborWhole(row[2], kMaxCount);
  if (!window || !organisation || !count) {
    return false;
  }
  *parsed = {origin, WindowId(static_cast<std::int64_t>(*window)),
             base::OrganisationId(*organisation),
             static_cast<std::int64_t>(*count)};
  return true;
}

// [origin, row...].
bool ParseGroup(const json& group, std::vector<UsageRow>* rows) {
  if (!group.is_array() || group.empty()) {
    return false;
  }
  const auto origin = Name(group[0]);
  if (!origin) {
    return false;
  }
  return std::all_of(group.begin() + 1, group.end(), [&](const json& it) {
    rows->emplace_back();
    return ParseRow(it, OriginId(*origin), &rows->back());
  });
}

json EncodeRow(const UsageRow& row) {
  return json::array({static_cast<std::uint64_t>(row.window.value()),
                      row.organisation.str(),
                      static_cast<std::uint64_t>(row.count)});
}

}  // namespace

std::string EncodeUsageUpdate(const UsageUpdate& update) {
  json message =
      json::array({kVersion, update.origin.str(), update.change.value(),
                   static_cast<std::uint64_t>(update.time.value())});
  auto it = update.rows.begin();
  while (it != update.rows.end()) {
    json group = json::array({it->origin.str()});
    const OriginId& origin = it->origin;
    for (; it != update.rows.end() && it->origin == origin; ++it) {
      group.push_back(EncodeRow(*it));
    }
    message.push_back(std::move(group));
  }
  return connection::EncodeCbor(message);
}

std::optional<UsageUpdate> DecodeUsageUpdate(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() < kUpdateHeadMembers) {
    return std::nullopt;
  }
  const auto origin = Name((*message)[1]);
  const auto change = CborWhole((*message)[2], kMaxNumber);
  const auto time = CborWhole((*message)[3], kMaxNumber);
  if (!origin || !change || !time) {
    return std::nullopt;
  }
  UsageUpdate update{OriginId(*origin),
                     ChangeNumber(*change),
                     WallMillis(static_cast<std::int64_t>(*time)),
                     {}};
  const bool valid =
      std::all_of(message->begin() + kUpdateHeadMembers, message->end(),
                  [&](const json& it) { return ParseGroup(it, &update.rows); });
  return valid ? std::optional(std::move(update)) : std::nullopt;
}

std::string EncodeUsageAck(const UsageAck& ack) {
  return connection::EncodeCbor(
      json::array({kVersion, ack.origin.str(), ack.change.value(),
                   static_cast<std::uint64_t>(ack.time.value()),
                   static_cast<std::uint64_t>(std::max(ack.clocks, 1))}));
}

std::optional<UsageAck> DecodeUsageAck(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() != kAckMembers) {
    return std::nullopt;
  }
  const auto origin = Name((*message)[1]);
  const auto change = CborWhole((*message)[2], kMaxNumber);
  const auto time = CborWhole((*message)[3], kMaxNumber);
  const auto clocks = CborWhole((*message)[4], kMaxClocks);
  if (!origin || !change || !time || !clocks) {
    return std::nullopt;
  }
  return UsageAck{OriginId(*origin), ChangeNumber(*change),
                  WallMillis(static_cast<std::int64_t>(*time)),
                  static_cast<int>(*clocks)};
}

}  // namespace lynxglade::process::usage
