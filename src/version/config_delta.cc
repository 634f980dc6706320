#include "version/config_delta.h"

#include <algorithm>
#include <utility>

#include "version/details/configuration_json.h"
#include "version/details/json_reader.h"
#include "version/digest.h"

namespace lynxglade::version {
namespace {

using details::json;

constexpr base::Revision kOne{1};

template <typename Key, typename Part>
std::map<Key, Edit<Part>> DiffParts(const std::map<Key, Part>& from,
                                    const std::map<Key, Part>& to) {
  std::map<Key, Edit<Part>> edits;
  for (const auto& [key, part] : from) {
    const auto it = to.find(key);
    if (it == to.end()) {
      edits[key] = {part, std::nullopt};
    } else if (it->second != part) {
      edits[key] = {part, it->second};
    }
  }
  for (const auto& [key, part] : to) {
    if (!from.contains(key)) {
      edits[key] = {std::nullopt, part};
    }
  }
  return edits;
}

template <typename Key, typename Part>
bool Matches(const std::map<Key, Edit<Part>>& edits,
             const std::map<Key, Part>& parts,
             std::optional<Part> Edit<Part>::* expected) {
  return std::ranges::all_of(edits, [&](const auto& entry) {
    const auto it = parts.find(entry.first);
    const std::optional<Part>& expected_part = entry.second.*expected;
    return it == parts.end() ? !expected_part
                             : expected_part && *expected_part == it->second;
  });
}

template <typename Key, typename Part>
void WriteSide(const std::map<Key, Edit<Part>>& edits,
               std::optional<Part> Edit<Part>::* side,
               std::map<Key, Part>* parts) {
  for (const auto& [key, edit] : edits) {
    if (edit.*side) {
      parts->insert_or_assign(key, *(edit.*side));
    } else {
      parts->erase(key);
    }
  }
}

template <typename Edits>
json EditsToJson(const Edits& edits) {
  json object = json::object();
  for (const auto& [id, edit] : edits) {
    json& it = object[id.str()] = json::object();
    if (edit.before) {
      it["before"] = details::ToJson(*edit.before);
    }
    if (edit.after) {
      it["after"] = details::ToJson(*edit.after);
    }
  }
  return object;
}

// Decodes one side of an edit, if present.
template <typename Part>
bool ReadSide(const json* value,
              const std::string& where,
              std::optional<Part>* side,
              CodecFault* fault) {
  return value == nullptr ||
         details::FromJson(*value, where, &side->emplace(), fault);
}

template <typename Key, typename Part>
details::JsonReader::ReadOne ReadEdits(std::map<Key, Edit<Part>>* edits,
                                       CodecFault* fault) {
  return [edits, fault](const std::string& key, const json& value,
                        const std::string& where) {
    details::JsonReader reader(value, where, fault);
    const json* before = reader.Any("before");
    const json* after = reader.Any("after");
    Edit<Part>& edit = (*edits)[Key(key)];
    return reader.Done() &&
           ReadSide(before, details::AppendToPointer(where, "before"),
                    &edit.before, fault) &&
           ReadSide(after, details::AppendToPointer(where, "after"),
                    &edit.after, fault);
  };
}

}  // namespace

ConfigDelta MakeDelta(const Configuration& from, const Configuration& to) {
  return {from.revision + kOne, DiffParts(from.services, to.services),
          DiffParts(from.contracts, to.contracts),
          DiffParts(from.operators, to.operators)};
}

bool ApplyDelta(const ConfigDelta& delta, Configuration* configuration) {
  const bool matches = configuration->revision + kOne == delta.revision &&
                       Matches(delta.services, configuration->services,
                               &Edit<ServiceSpec>::before) &&
                       Matches(delta.contracts, configuration->contracts,
                               &Edit<Contract>::before) &&
                       Matches(delta.operators, configuration->operators,
                               &Edit<Operator>::before);
  if (!matches) {
    return false;
  }
  WriteSide(delta.services, &Edit<ServiceSpec>::after,
            &configuration->services);
  WriteSide(delta.contracts, &Edit<Contract>::after, &configuration->contracts);
  WriteSide(delta.operators, &Edit<Operator>::after, &configuration->operators);
  configuration->revision = delta.revision;
  return true;
}

bool UndoDelta(const ConfigDelta& delta, Configuration* configuration) {
  const bool matches = configuration->revision == delta.revision &&
                       Matches(delta.services, configuration->services,
                               &Edit<ServiceSpec>::after) &&
                       Matches(delta.contracts, configuration->contracts,
                               &Edit<Contract>::after) &&
                       Matches(delta.operators, configuration->operators,
                               &Edit<Operator>::after);
  if (!matches) {
    return false;
  }
  WriteSide(delta.services, &Edit<ServiceSpec>::before,
            &configuration->services);
  WriteSide(delta.contracts, &Edit<Contract>::before,
            &configuration->contracts);
  WriteSide(delta.operators, &Edit<Operator>::before,
            &configuration->operators);
  configuration->revision -= kOne;
  return true;
}

std::string EncodeDelta(const ConfigDelta& delta) {
  return details::Canonical({{"revision", delta.revision.value()},
                             {"services", EditsToJson(delta.services)},
                             {"contracts", EditsToJson(delta.contracts)},
                             {"operators", EditsToJson(delta.operators)}});
}

std::optional<ConfigDelta> DecodeDelta(std::string_view text,
                                       CodecFault* fault) {
  json value;
  if (!details::ParseObject(text, kMaxDeltaBytes, &value, fault)) {
    return std::nullopt;
  }
  ConfigDelta delta;
  std::int64_t revision = 0;
  details::JsonReader reader(value, "", fault);
  reader.Integer("revision", 1, INT64_MAX, &revision);
  reader.Each("services", json::value_t::object, kMaxServices,
              ReadEdits(&delta.services, fault));
  reader.Each("contracts", json::value_t::object, kMaxContracts,
              ReadEdits(&delta.contracts, fault));
  reader.Each("operators", json::value_t::object, kMaxOperators,
              ReadEdits(&delta.operators, fault));
  delta.revision = base::Revision(revision);
  if (!reader.Done()) {
    return std::nullopt;
  }
  return delta;
}

std::string ChainDigest(std::string_view previous,
                        std::string_view delta_text) {
  std::string text(previous);
  text += '\n';
  text += delta_text;
  return Sha256Hex(text);
}

}  // namespace lynxglade::version
