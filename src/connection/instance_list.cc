#include "connection/instance_list.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"
#include "base/log.h"

namespace lynxglade::connection {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxPort = 65535;

std::string Text(const json& row, const char* name) {
  const auto it = row.find(name);
  return it != row.end() && it->is_string() ? it->get<std::string>()
                                            : std::string();
}

// Returns 0 if absent or out of range.
int Port(const json& row, const char* name) {
  const auto it = row.find(name);
  if (it == row.end() || !it->is_number_integer()) {
    return 0;
  }
  const auto n = it->get<std::int64_t>();
  return n >= 1 && n <= kMaxPort ? static_cast<int>(n) : 0;
}

bool Flag(const json& row, const char* name) {
  const auto it = row.find(name);
  return it != row.end() && it->is_boolean() && it->get<bool>();
}

// Checks the members that all rows must have.
bool IsReadable(const json& row) {
  if (!row.is_object()) {
    return false;
  }
  const std::string state = Text(row, "state");
  return !Text(row, "id").empty() && !Text(row, "zone").empty() &&
         !Text(row, "address").empty() && Port(row, "port") != 0 &&
         (state == "live" || state == "leaving");
}

EntryRow ReadEntry(const json& row) {
  return {base::InstanceId(Text(row, "id")),
          base::ZoneId(Text(row, "zone")),
          Text(row, "address"),
          Port(row, "port"),
          Port(row, "peer_port"),
          Text(row, "state") == "leaving"};
}

TargetRow ReadTarget(const json& row) {
  return {base::TargetId(Text(row, "id")),
          base::ServiceName(Text(row, "service")),
          base::ZoneId(Text(row, "zone")),
          Text(row, "address"),
          Port(row, "port"),
          Text(row, "state") == "leaving",
          Flag(row, "fenced")};
}

bool AddRow(const json& row, InstanceTable* table) {
  if (!IsReadable(row)) {
    return false;
  }
  const std::string kind = Text(row, "kind");
  if (kind == "entry") {
    table->entries.push_back(ReadEntry(row));
    return true;
  }
  if (Text(row, "service").empty()) {
    return false;
  }
  if (kind == "engine") {
    table->engines.push_back(ReadTarget(row));
    return true;
  }
  if (kind == "plain") {
    table->plains.push_back(ReadTarget(row));
    return true;
  }
  return false;
}

}  // namespace

std::optional<InstanceTable> ParseInstanceTable(std::string_view body) {
  const json list = base::ParseJsonWithoutDeepValues(body).value_or(json());
  if (!list.is_object()) {
    return std::nullopt;
  }
  const auto revision = list.find("revision");
  const auto rows = list.find("instances");
  const bool shaped = revision != list.end() && rows != list.end() &&
                      revision->is_number_integer() && rows->is_array();
  if (!shaped || rows->size() > kMaxInstanceRows) {
    return std::nullopt;
  }
  InstanceTable table;
  table.revision = base::Revision(revision->get<std::int64_t>());
  table.unreadable_rows = static_cast<int>(std::ranges::count_if(
      *rows, [&](const json& row) { return !AddRow(row, &table); }));
  return table;
}

InstanceList::InstanceList(PlatformFetch fetch, base::Clock clock)
    : fetch_(std::move(fetch)), clock_(std::move(clock)) {}

bool InstanceList::Refresh(PlatformError* last_error) {
  // Taken before the call: the list is at least as recent as this.
  const base::Time asked = clock_();
  const std::optional<std::string> body =
      FetchBody(fetch_, "/v1/instances", last_error);
  if (!body) {
    return false;
  }
  // The list is usually unchanged, and hashing is much cheaper than parsing.
  const std::uint64_t hash = base::Hash64(*body);
  std::optional<InstanceTable> table =
      hash == body_hash_ ? *table_.Get() : ParseInstanceTable(*body);
  if (!table) {
    *last_error = PlatformError::kBadAnswer;
    return false;
  }
  if (table->revision < table_.Get()->revision) {
    older_lists_.fetch_add(1, std::memory_order_relaxed);
    base::Log(base::LogLevel::kWarning, "instance_list_older",
              {{"revision", table->revision.value()},
               {"held", table_.Get()->revision.value()}});
    *last_error = PlatformError::kOlder;
    return false;
  }
  body_hash_ = hash;
  table->as_of = asked;
  table_.Set(std::move(*table));
  return true;
}

InstanceList::Handle InstanceList::Get() const {
  return table_.Get();
}

std::optional<base::Duration> InstanceList::Age() const {
  const Handle table = table_.Get();
  if (table->as_of == base::Time{}) {
    return std::nullopt;
  }
  return clock_() - table->as_of;
}

std::uint64_t InstanceList::older_lists() const noexcept {
  return older_lists_.load(std::memory_order_relaxed);
}

}  // namespace lynxglade::connection
