#include "version/details/configuration_json.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "version/details/json_reader.h"

namespace lynxglade::version::details {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::int64_t kMaxRevision = INT64_MAX;

template <typename Map>
json MapToJson(const Map& map) {
  json object = json::object();
  for (const auto& [id, part] : map) {
    object[id.str()] = ToJson(part);
  }
  return object;
}

template <typename Ids>
json IdsToJson(const Ids& ids) {
  json array = json::array();
  std::ranges::transform(ids, std::back_inserter(array),
                         [](const auto& id) { return id.str(); });
  return array;
}

// The member key of a part must equal its id.
template <typename Id>
bool CheckMemberKey(const std::string& key,
                    const Id& id,
                    const std::string& where,
                    CodecFault* fault) {
  return key == id.str() ||
         Fail(fault, CodecError::kBadReference, where,
              "the member key must equal the id, " + id.str());
}

template <typename Map, typename IdOf>
JsonReader::ReadOne ReadInto(Map* map, CodecFault* fault, IdOf id_of) {
  return [map, fault, id_of](const std::string& key, const json& value,
                             const std::string& where) {
    typename Map::mapped_type part;
    if (!FromJson(value, where, &part, fault) ||
        !CheckMemberKey(key, id_of(part), where, fault)) {
      return false;
    }
    const auto id = id_of(part);
    map->insert_or_assign(id, std::move(part));
    return true;
  };
}

bool CheckNoDuplicateIntents(const std::vector<Intent>& intents,
                             const std::string& where,
                             CodecFault* fault) {
  std::vector<std::pair<std::string, std::string>> names;
  std::ranges::transform(intents, std::back_inserter(names),
                         [](const Intent& it) {
                           return std::pair(it.service.str(), it.model.str());
                         });
  std::ranges::sort(names);
  const auto duplicate = std::ranges::adjacent_find(names);
  return duplicate == names.end() ||
         Fail(fault, CodecError::kDuplicate, AppendToPointer(where, "intents"),
              "two intents for service " + duplicate->first + ", model '" +
                  duplicate->second + "'");
}

bool ParseRole(const std::string& text, OperatorRole* role) {
  constexpr OperatorRole kRoles[] = {
      OperatorRole::kReadOnly, OperatorRole::kContract, OperatorRole::kFleet};
  const auto* const it = std::ranges::find_if(
      kRoles, [&](OperatorRole r) { return ToString(r) == text; });
  if (it == std::end(kRoles)) {
    return false;
  }
  *role = *it;
  return true;
}

}  // namespace

json ToJson(const ServiceSpec& service) {
  return {{"name", service.name.str()},
          {"engines", service.engines},
          {"role_change_price", service.role_change_price},
          {"planner_enabled", service.planner_enabled}};
}

json ToJson(const Intent& intent) {
  return {{"service", intent.service.str()}, {"model", intent.model.str()},
          {"version", intent.version.str()}, {"adapters", intent.adapters},
          {"share", intent.share},           {"priority", intent.priority}};
}

json ToJson(const Contract& contract) {
  json intents = json::array();
  std::ranges::transform(contract.intents, std::back_inserter(intents),
                         [](const Intent& it) { return ToJson(it); });
  return {{"id", contract.id.str()},
          {"display_name", contract.display_name},
          {"intents", std::move(intents)},
          {"default_deadline_ms", base::ToMillis(contract.default_deadline)},
          {"key_hashes", contract.key_hashes}};
}

json ToJson(const Operator& op) {
  return {{"id", op.id.str()},
          {"role", ToString(op.role)},
          {"contracts", IdsToJson(op.contracts)},
          {"key_hashes", op.key_hashes}};
}

json ToJson(const Configuration& configuration) {
  return {{"revision", configuration.revision.value()},
          {"services", MapToJson(configuration.services)},
          {"contracts", MapToJson(configuration.contracts)},
          {"operators", MapToJson(configuration.operators)}};
}

bool FromJson(const json& value,
              const std::string& where,
              ServiceSpec* out,
              CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::string name;
  reader.Id("name", &name);
  reader.OptionalFlag("engines", &out->engines);
  reader.OptionalNumber("role_change_price", 0, kMaxRoleChangePrice,
                        &out->role_change_price);
  reader.OptionalFlag("planner_enabled", &out->planner_enabled);
  out->name = base::ServiceName(std::move(name));
  return reader.Done();
}

bool FromJson(const json& value,
              const std::string& where,
              Intent* out,
              CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::string service;
  std::string model;
  std::string version;
  std::int64_t priority = out->priority;
  reader.Id("service", &service);
  reader.OptionalId("model", &model);
  reader.OptionalId("version", &version);
  reader.OptionalIds("adapters", kMaxAdaptersPerIntent, &out->adapters);
  reader.Number("share", 0, 1, &out->share);
  reader.OptionalInteger("priority", 0, kMaxPriority, &priority);
  if (!reader.Done()) {
    return false;
  }
  if (out->share <= 0) {
    return Fail(fault, CodecError::kOutOfRange, AppendToPointer(where, "share"),
                "must be greater than 0");
  }
  out->service = base::ServiceName(std::move(service));
  out->model = base::ModelName(std::move(model));
  out->version = base::ModelVersion(std::move(version));
  out->priority = static_cast<int>(priority);
  return true;
}

bool FromJson(const json& value,
              const std::string& where,
              Contract* out,
              CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::string id;
  std::int64_t deadline = base::ToMillis(out->default_deadline);
  reader.Id("id", &id);
  reader.OptionalText("display_name", kMaxNameBytes, &out->display_name);
  reader.Each(
      "intents", json::value_t::array, kMaxIntentsPerContract,
      [&](const std::string&, const json& it, const std::string& place) {
        return FromJson(it, place, &out->intents.emplace_back(), fault);
      });
  reader.OptionalInteger("default_deadline_ms", base::ToMillis(kMinDeadline),
                         base::ToMillis(kMaxDeadline), &deadline);
  reader.OptionalDigests("key_hashes", kMaxKeysPerOwner, &out->key_hashes);
  out->id = base::ContractId(std::move(id));
  out->default_deadline = std::chrono::milliseconds(deadline);
  return reader.Done() && CheckNoDuplicateIntents(out->intents, where, fault);
}

bool FromJson(const json& value,
              const std::string& where,
              Operator* out,
              CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::string id;
  std::string role;
  std::vector<std::string> contracts;
  reader.Id("id", &id);
  reader.Id("role", &role);
  reader.OptionalIds("contracts", kMaxContracts, &contracts);
  reader.OptionalDigests("key_hashes", kMaxKeysPerOwner, &out->key_hashes);
  if (!reader.Done()) {
    return false;
  }
  if (!ParseRole(role, &out->role)) {
    return Fail(fault, CodecError::kOutOfRange, AppendToPointer(where, "role"),
                "must be read_only, contract or fleet");
  }
  out->id = base::OperatorId(std::move(id));
  std::ranges::transform(
      contracts, std::back_inserter(out->contracts),
      [](std::string& it) { return base::ContractId(std::move(it)); });
  return true;
}

bool FromJson(const json& value,
              const std::string& where,
              Configuration* out,
              CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::int64_t revision = 0;
  reader.Integer("revision", 0, kMaxRevision, &revision);
  reader.Each("services", json::value_t::object, kMaxServices,
              ReadInto(&out->services, fault,
                       [](const ServiceSpec& it) { return it.name; }));
  reader.Each("contracts", json::value_t::object, kMaxContracts,
              ReadInto(&out->contracts, fault,
                       [](const Contract& it) { return it.id; }));
  reader.Each("operators", json::value_t::object, kMaxOperators,
              ReadInto(&out->operators, fault,
                       [](const Operator& it) { return it.id; }));
  out->revision = base::Revision(revision);
  return reader.Done();
}

}  // namespace lynxglade::version::details
