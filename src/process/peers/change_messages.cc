#include "process/peers/change_messages.h"

#include <cstdint>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using nlohmann::json;

// Message: [version, revision, [change...]]. Change: [key, revision, value], or
// [key, revision] for a deletion.
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kParts = 3;
constexpr std::size_t kDeletionParts = 2;
constexpr std::size_t kMaxKeyBytes = 200;
// Changes in one message.
constexpr std::size_t kMaxChanges = 1000;
constexpr connection::CborLimits kLimits{
    .max_bytes = kMaxRelayedBytes + kMaxChanges * (kMaxKeyBytes + 32),
    .max_depth = 4,
    .max_elements = kMaxChanges * (kParts + 1) + 8};

std::optional<base::Revision> ParseRevision(const json& value) {
  constexpr auto kMax =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const auto number = connection::CborWhole(value, kMax);
  if (!number) {
    return std::nullopt;
  }
  return base::Revision(static_cast<std::int64_t>(*number));
}

std::uint64_t ToNumber(base::Revision revision) {
  return static_cast<std::uint64_t>(revision.value());
}

json ToJson(const store::StoreItem& item) {
  if (item.deleted) {
    return json::array({item.key, ToNumber(item.revision)});
  }
  const json::binary_t value(
      std::vector<std::uint8_t>(item.value.begin(), item.value.end()));
  return json::array({item.key, ToNumber(item.revision), value});
}

std::optional<store::StoreItem> ParseChange(const json& change) {
  if (!change.is_array() || change.size() < kDeletionParts ||
      change.size() > kParts || !change[0].is_string()) {
    return std::nullopt;
  }
  const auto revision = ParseRevision(change[1]);
  if (!revision) {
    return std::nullopt;
  }
  store::StoreItem item;
  item.key = change[0].get<std::string>();
  item.revision = *revision;
  item.deleted = change.size() == kDeletionParts;
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

std::optional<std::string> EncodeChanges(const store::StoreItems& changes) {
  const std::size_t bytes = std::accumulate(
      changes.items.begin(), changes.items.end(), std::size_t{0},
      [](std::size_t n, const store::StoreItem& it) {
        return n + it.value.size();
      });
  if (bytes > kMaxRelayedBytes || changes.items.size() > kMaxChanges) {
    return std::nullopt;
  }
  json list = json::array();
  for (const store::StoreItem& item : changes.items) {
    list.push_back(ToJson(item));
  }
  return connection::EncodeCbor(
      json::array({kVersion, ToNumber(changes.revision), std::move(list)}));
}

std::optional<store::StoreItems> DecodeChanges(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() != kParts || !(*message)[2].is_array()) {
    return std::nullopt;
  }
  const auto at = ParseRevision((*message)[1]);
  if (!at) {
    return std::nullopt;
  }
  store::StoreItems changes;
  changes.revision = *at;
  for (const json& change : (*message)[2]) {
    auto item = ParseChange(change);
    if (!item || item->revision > *at) {
      return std::nullopt;
    }
    changes.items.push_back(std::move(*item));
  }
  return changes;
}

}  // namespace lynxglade::process::peers
