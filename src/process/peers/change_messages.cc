#include "process/peers/change_messages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/whole_number.h"
#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using nlohmann::json;
using request::passthrough::EngineGroup;
using request::passthrough::SamplingLevels;

// A query is kPath and these parts, joined by '/': revision, wait in
// milliseconds, what is wanted, digest of the levels in hexadecimal, start of
// the snapshot (-1: none), requests placed, and crowded ones.
constexpr std::string_view kPath = "/v2/changes/";
constexpr std::size_t kQueryParts = 7;
constexpr std::string_view kEverything = "everything";
constexpr std::string_view kSample = "sample";
constexpr std::int64_t kMaxWaitMs = 10'000;
constexpr std::int64_t kMaxPlacements = 1'000'000;
constexpr std::int64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

// Answer: [version, revision, age in ms, more, snapshot start, levels, [change,
// ...]]. Change: [key, revision, value], or [key, revision] for a deletion.
// Levels: null, or [[service, zone, level], ...].
constexpr std::uint64_t kVersion = 2;
constexpr std::size_t kAnswerParts = 7;
constexpr std::size_t kChangeParts = 3;
constexpr std::size_t kDeletionParts = 2;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::uint64_t kMaxAgeMs = 3'600'000;
constexpr std::size_t kMaxLevels = 512;
constexpr std::uint64_t kMaxLevel = 62;
// Changes in one answer.
constexpr std::size_t kMaxChanges = 1000;
// A page ends after the item that exceeds its limit.
constexpr std::size_t kMaxItemBytes = 2 * kMaxRelayedBytes;
constexpr connection::CborLimits kLimits{
    .max_bytes = kMaxItemBytes + kMaxChanges * (kMaxKeyBytes + 32) +
                 kMaxLevels * 2 * kMaxKeyBytes,
    .max_depth = 4,
    .max_elements = (kMaxChanges + kMaxLevels) * (kChangeParts + 1) + 16};

std::vector<std::string_view> SplitAtSlashes(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t slash = text.find('/');
    parts.push_back(text.substr(0, slash));
    if (slash == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(slash + 1);
  }
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n, 16);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::string ToHexText(std::uint64_t n) {
  std::array<char, 16> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), n, 16);
  return {buf.data(), end};
}

std::optional<base::Revision> ParseRevision(const json& value) {
  const auto number =
      connection::CborWhole(value, static_cast<std::uint64_t>(kMaxRevision));
  if (!number) {
    return std::nullopt;
  }
  return base::Revision(static_cast<std::int64_t>(*number));
}

std::uint64_t ToNumber(base::Revision revision) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(revision.value(), 0));
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
      change.size() > kChangeParts || !change[0].is_string()) {
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

json ToJson(const std::optional<SamplingLevels>& levels) {
  if (!levels) {
    return nullptr;
  }
  json rows = json::array();
  for (const auto& [group, level] : levels->groups()) {
    rows.push_back({group.service.str(), group.zone.str(),
                    static_cast<std::uint64_t>(level)});
  }
  return rows;
}

bool ParseLevels(const json& rows, std::optional<SamplingLevels>* levels) {
  if (rows.is_null()) {
    return true;
  }
  if (!rows.is_array() || rows.size() > kMaxLevels) {
    return false;
  }
  std::map<EngineGroup, int> parsed;
  for (const json& row : rows) {
    if (!row.is_array() || row.size() != 3 || !row[0].is_string() ||
        !row[1].is_string()) {
      return false;
    }
    const auto level = connection::CborWhole(row[2], kMaxLevel);
    if (!level) {
      return false;
    }
    parsed[{base::ServiceName(row[0].get<std::string>()),
            base::ZoneId(row[1].get<std::string>())}] =
        static_cast<int>(*level);
  }
  *levels = SamplingLevels(std::move(parsed));
  return true;
}

bool ParseChanges(const json& rows, store::StoreItems* changes) {
  if (!rows.is_array()) {
    return false;
  }
  for (const json& row : rows) {
    auto item = ParseChange(row);
    if (!item || item->revision > changes->revision) {
      return false;
    }
    changes->items.push_back(std::move(*item));
  }
  return true;
}

}  // namespace

std::string EncodeQuery(const ChangesQuery& query) {
  const std::int64_t start =
      query.snapshot_start ? query.snapshot_start->value() : -1;
  const auto count = [](double n) {
    return std::to_string(
        std::clamp<std::int64_t>(std::llround(n), 0, kMaxPlacements));
  };
  std::string text(kPath);
  text += std::to_string(query.after.value()) + '/';
  text += std::to_string(base::ToMillis(query.wait)) + '/';
  text += std::string(query.everything ? kEverything : kSample) + '/';
  text += ToHexText(query.levels_digest) + '/';
  text += std::to_string(start) + '/';
  text += count(query.placements.placed) + '/';
  text += count(query.placements.crowded);
  return text;
}

std::optional<ChangesQuery> DecodeQuery(std::string_view text) {
  if (!text.starts_with(kPath)) {
    return std::nullopt;
  }
  const auto parts = SplitAtSlashes(text.substr(kPath.size()));
  if (parts.size() != kQueryParts ||
      (parts[2] != kEverything && parts[2] != kSample)) {
    return std::nullopt;
  }
  const auto after = base::ParseWhole(parts[0], -1, kMaxRevision - 1);
  const auto wait = base::ParseWhole(parts[1], 0, kMaxWaitMs);
  const auto digest = ParseHex(parts[3]);
  const auto start = base::ParseWhole(parts[4], -1, kMaxRevision - 1);
  const auto placed = base::ParseWhole(parts[5], 0, kMaxPlacements);
  const auto crowded = base::ParseWhole(parts[6], 0, kMaxPlacements);
  if (!after || !wait || !digest || !start || !placed || !crowded) {
    return std::nullopt;
  }
  ChangesQuery query;
  query.after = base::Revision(*after);
  query.wait = std::chrono::milliseconds(*wait);
  query.everything = parts[2] == kEverything;
  query.levels_digest = *digest;
  if (*start >= 0) {
    query.snapshot_start = base::Revision(*start);
  }
  query.placements = {static_cast<double>(*placed),
                      static_cast<double>(*crowded)};
  return query;
}

std::optional<std::string> EncodeAnswer(const ChangesAnswer& answer) {
  const auto& items = answer.changes.items;
  const std::size_t bytes =
      std::accumulate(items.begin(), items.end(), std::size_t{0},
                      [](std::size_t n, const store::StoreItem& it) {
                        return n + it.value.size();
                      });
  if (bytes > kMaxItemBytes || items.size() > kMaxChanges ||
      (answer.levels && answer.levels->groups().size() > kMaxLevels)) {
    return std::nullopt;
  }
  json list = json::array();
  for (const store::StoreItem& item : items) {
    list.push_back(ToJson(item));
  }
  const auto age = std::clamp<std::int64_t>(base::ToMillis(answer.changes.age),
                                            0, std::int64_t{kMaxAgeMs});
  return connection::EncodeCbor(
      json::array({kVersion, ToNumber(answer.changes.revision),
                   static_cast<std::uint64_t>(age), answer.more,
                   ToNumber(answer.snapshot_start), ToJson(answer.levels),
                   std::move(list)}));
}

std::optional<ChangesAnswer> DecodeAnswer(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() != kAnswerParts ||
      !(*message)[3].is_boolean()) {
    return std::nullopt;
  }
  const auto at = ParseRevision((*message)[1]);
  const auto age = connection::CborWhole((*message)[2], kMaxAgeMs);
  const auto start = ParseRevision((*message)[4]);
  if (!at || !age || !start) {
    return std::nullopt;
  }
  ChangesAnswer answer;
  answer.changes.revision = *at;
  answer.changes.age = std::chrono::milliseconds(*age);
  answer.more = (*message)[3].get<bool>();
  answer.snapshot_start = *start;
  if (!ParseLevels((*message)[5], &answer.levels) ||
      !ParseChanges((*message)[6], &answer.changes)) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace lynxglade::process::peers
