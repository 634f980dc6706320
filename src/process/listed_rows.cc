#include "process/listed_rows.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "process/peer_messages.h"

namespace lynxglade::process {

namespace {

using connection::InstanceTable;
using connection::TargetRow;
using nlohmann::json;

constexpr int kMaxRowDepth = 2;
constexpr std::int64_t kMaxPort = 65535;
constexpr char kTombstone[] = "{}";
// Revisions are signed, so a greater epoch is invalid.
constexpr auto kMaxEpoch =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

// Member names of a body; short, because a large fleet has thousands of facts.
constexpr char kService[] = "s";
constexpr char kZone[] = "z";
constexpr char kAddress[] = "a";
constexpr char kPort[] = "p";
// Present when true.
constexpr char kEngine[] = "e";
constexpr char kFenced[] = "f";
constexpr char kLeaving[] = "l";

std::string Text(const json& body, const char* name) {
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

int Port(const json& body) {
  const auto it = body.find(kPort);
  if (it == body.end() || !it->is_number_integer()) {
    return 0;
  }
  const auto n = it->get<std::int64_t>();
  return n >= 1 && n <= kMaxPort ? static_cast<int>(n) : 0;
}

std::string Encode(const ListedTarget& target) {
  const TargetRow& row = target.row;
  json body = {{kService, row.service.str()},
               {kZone, row.zone.str()},
               {kAddress, row.address},
               {kPort, row.port}};
  const std::pair<const char*, bool> flags[] = {
      {kEngine, target.engine}, {kFenced, row.fenced}, {kLeaving, row.leaving}};
  for (const auto& [name, set] : flags) {
    if (set) {
      body[name] = true;
    }
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

ViewItem MakeFact(const base::TargetId& id,
                  base::Revision revision,
                  std::string body) {
  ViewItem item;
  item.kind = ViewKind::kListed;
  item.key = id.str();
  item.version = {static_cast<std::uint64_t>(revision.value()), 0};
  item.body = std::move(body);
  return item;
}

bool IsTombstone(const ViewItem& fact) {
  return fact.body == kTombstone;
}

// Whether peers accept the fact: they reject messages with larger ones.
bool IsSendable(const ViewItem& fact) {
  return fact.key.size() <= kMaxViewKeyBytes &&
         fact.body.size() <= kMaxViewBodyBytes;
}

// Whether the fact is a valid row or tombstone with a valid revision.
bool IsReadable(const ViewItem& fact) {
  return fact.version.epoch <= kMaxEpoch &&
         (IsTombstone(fact) || ParseListedFact(fact));
}

bool IsNewer(const ViewItem& fact, const InstanceTable& list) {
  return fact.version.epoch > static_cast<std::uint64_t>(list.revision.value());
}

std::vector<ListedTarget> TargetsOf(const InstanceTable& list) {
  std::vector<ListedTarget> out;
  out.reserve(list.engines.size() + list.plains.size());
  const auto add = [&](const std::vector<TargetRow>& rows, bool engine) {
    std::ranges::transform(
        rows, std::back_inserter(out),
        [&](const TargetRow& row) { return ListedTarget{row, engine}; });
  };
  add(list.engines, /*engine=*/true);
  add(list.plains, /*engine=*/false);
  return out;
}

}  // namespace

ViewItem MakeListedFact(const ListedTarget& target, base::Revision revision) {
  return MakeFact(target.row.id, revision, Encode(target));
}

ViewItem MakeTombstone(const base::TargetId& id, base::Revision revision) {
  return MakeFact(id, revision, kTombstone);
}

std::optional<ListedTarget> ParseListedFact(const ViewItem& fact) {
  const auto body = base::ParseBoundedJson(fact.body, kMaxRowDepth);
  if (!body || !body->is_object()) {
    return std::nullopt;
  }
  ListedTarget out;
  out.row.id = base::TargetId(fact.key);
  out.row.service = base::ServiceName(Text(*body, kService));
  out.row.zone = base::ZoneId(Text(*body, kZone));
  out.row.address = Text(*body, kAddress);
  out.row.port = Port(*body);
  out.row.fenced = body->contains(kFenced);
  out.row.leaving = body->contains(kLeaving);
  out.engine = body->contains(kEngine);
  const bool complete = !fact.key.empty() && !out.row.service.empty() &&
                        !out.row.zone.empty() && !out.row.address.empty() &&
                        out.row.port != 0;
  return complete ? std::optional(std::move(out)) : std::nullopt;
}

std::shared_ptr<const InstanceTable> ApplyNewerFacts(
    std::shared_ptr<const InstanceTable> list,
    const std::vector<ViewItem>& facts) {
  std::map<std::string_view, const ViewItem*> newer;
  for (const ViewItem& fact : facts) {
    if (IsNewer(fact, *list) && IsReadable(fact)) {
      newer[fact.key] = &fact;
    }
  }
  if (newer.empty()) {
    return list;
  }
  InstanceTable out = *list;
  const auto overridden = [&](const TargetRow& row) {
    return newer.contains(row.id.str());
  };
  std::erase_if(out.engines, overridden);
  std::erase_if(out.plains, overridden);
  for (const auto& [key, fact] : newer) {
    const base::Revision revision(
        static_cast<std::int64_t>(fact->version.epoch));
    out.revision = std::max(out.revision, revision);
    if (auto target = ParseListedFact(*fact)) {
      auto& rows = target->engine ? out.engines : out.plains;
      rows.push_back(std::move(target->row));
    }
  }
  return std::make_shared<const InstanceTable>(std::move(out));
}

std::vector<ViewItem> FactsToPublish(const InstanceTable& list,
                                     const std::vector<ViewItem>& facts,
                                     std::size_t limit) {
  if (list.revision <= base::Revision(0)) {
    return {};
  }
  std::map<std::string_view, const ViewItem*> held;
  std::ranges::transform(facts, std::inserter(held, held.end()),
                         [](const ViewItem& fact) {
                           return std::pair(std::string_view(fact.key), &fact);
                         });
  std::vector<ViewItem> out;
  std::set<base::TargetId> listed;
  const auto epoch = static_cast<std::uint64_t>(list.revision.value());
  for (const ListedTarget& target : TargetsOf(list)) {
    // Only the first of duplicate rows is published.
    const bool first = listed.insert(target.row.id).second;
    ViewItem fact = MakeListedFact(target, list.revision);
    const auto it = held.find(fact.key);
    const bool differs =
        it == held.end() ||
        (it->second->version.epoch < epoch && it->second->body != fact.body);
    if (first && differs && IsSendable(fact) && out.size() < limit) {
      out.push_back(std::move(fact));
    }
  }
  for (const auto& [key, fact] : held) {
    const bool gone = fact->version.epoch < epoch && !IsTombstone(*fact) &&
                      !listed.contains(base::TargetId(fact->key));
    if (gone && out.size() < limit) {
      out.push_back(
          MakeTombstone(base::TargetId(std::string(key)), list.revision));
    }
  }
  return out;
}

}  // namespace lynxglade::process
