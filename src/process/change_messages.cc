#include "process/change_messages.h"

#include <cstdint>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process {

namespace {

using nlohmann::json;

// The message: [version, revision, [change...]]; a change: [key, revision,
// value], or [key, revision] for a key that is gone.
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kParts = 3;
constexpr std::size_t kPartsOfGone = 2;
constexpr std::size_t kMaxKeyBytes = 200;
// Keys, revisions and markers beside the values, and changes in one message.
constexpr std::size_t kMostChanges = 1000;
constexpr connection::CborLimits kLimits{
    .max_bytes = kMaxRelayedBytes + kMostChanges * (kMaxKeyBytes + 32),
    .max_depth = 4,
    .max_elements = kMostChanges * (kParts + 1) + 8};

std::optional<base::Revision> ReadRevision(const json& value) {
  constexpr auto kHighest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const auto number = connection::CborWhole(value, kHighest);
  if (!number) {
    return std::nullopt;
  }
  return base::Revision(static_cast<std::int64_t>(*number));
}

std::uint64_t Number(base::Revision revision) {
  return static_cast<std::uint64_t>(revision.value());
}

json ChangeOf(const StoreItem& item) {
  if (item.deleted) {
    return json::array({item.key, Number(item.revision)});
  }
  const json::binary_t value(
      std::vector<std::uint8_t>(item.value.begin(), item.value.end()));
  return json::array({item.key, Number(item.revision), value});
}

std::optional<StoreItem> ReadChange(const json& change) {
  if (!change.is_array() || change.size() < kPartsOfGone ||
      change.size() > kParts || !change[0].is_string()) {
    return std::nullopt;
  }
  const auto revision = ReadRevision(change[1]);
  if (!revision) {
    return std::nullopt;
  }
  StoreItem item;
  item.key = change[0].get<std::string>();
  item.revision = *revision;
  item.deleted = change.size() == kPartsOfGone;
  if (item.deleted) {
    return item;
  }
  if (!change[2].is_binary()) {
    return std::nullopt;
  }
  const auto& value = change[2].get_binary();
  item.value.assign(value.begin(), value.end());
  return item;
}

}  // namespace

std::optional<std::string> EncodeChanges(const StoreItems& changes) {
  const std::size_t bytes = std::accumulate(
      changes.items.begin(), changes.items.end(), std::size_t{0},
      [](std::size_t n, const StoreItem& it) { return n + it.value.size(); });
  if (bytes > kMaxRelayedBytes || changes.items.size() > kMostChanges) {
    return std::nullopt;
  }
  json list = json::array();
  for (const StoreItem& item : changes.items) {
    list.push_back(ChangeOf(item));
  }
  return connection::EncodeCbor(
      json::array({kVersion, Number(changes.revision), std::move(list)}));
}

std::optional<StoreItems> DecodeChanges(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() != kParts || !(*message)[2].is_array()) {
    return std::nullopt;
  }
  const auto at = ReadRevision((*message)[1]);
  if (!at) {
    return std::nullopt;
  }
  StoreItems changes;
  changes.revision = *at;
  for (const json& change : (*message)[2]) {
    auto item = ReadChange(change);
    if (!item || item->revision > *at) {
      return std::nullopt;
    }
    changes.items.push_back(std::move(*item));
  }
  return changes;
}

}  // namespace lynxglade::process
