#include "version/change_request.h"

#include <algorithm>
#include <utility>

#include "version/details/configuration_json.h"
#include "version/details/json_reader.h"

namespace lynxglade::version {
namespace {

using details::AppendToPointer;
using details::Fail;
using details::json;
using details::JsonReader;

// Reads the argument of one kind of change.
using ChangeReader = bool (*)(const json& value,
                              const std::string& where,
                              RequestedChange* out,
                              CodecFault* fault);

template <typename Change, auto kMember>
bool ReadPart(const json& value,
              const std::string& where,
              RequestedChange* out,
              CodecFault* fault) {
  Change change;
  if (!details::FromJson(value, where, &(change.*kMember), fault)) {
    return false;
  }
  *out = std::move(change);
  return true;
}

template <typename Change, auto kMember>
bool ReadName(const json& value,
              const std::string& where,
              RequestedChange* out,
              CodecFault* fault) {
  if (!value.is_string() ||
      !details::IsId(value.get_ref<const std::string&>())) {
    return Fail(fault, CodecError::kWrongType, where, "must be an id");
  }
  Change change;
  auto& id = change.*kMember;
  id = std::remove_reference_t<decltype(id)>(value.get<std::string>());
  *out = std::move(change);
  return true;
}

bool ReadUpsertIntent(const json& value,
                      const std::string& where,
                      RequestedChange* out,
                      CodecFault* fault) {
  if (!value.is_object()) {
    return Fail(fault, CodecError::kWrongType, where, "must be an object");
  }
  json intent = value;
  intent.erase("contract");
  const json contract = {{"contract", value.value("contract", json())}};
  JsonReader reader(contract, where, fault);
  std::string id;
  reader.Id("contract", &id);
  UpsertIntent change;
  if (!reader.Done() ||
      !details::FromJson(intent, where, &change.intent, fault)) {
    return false;
  }
  change.contract = base::ContractId(std::move(id));
  *out = std::move(change);
  return true;
}

bool ReadRemoveIntent(const json& value,
                      const std::string& where,
                      RequestedChange* out,
                      CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::string contract;
  std::string service;
  std::string model;
  reader.Id("contract", &contract);
  reader.Id("service", &service);
  reader.OptionalId("model", &model);
  *out = RemoveIntent{base::ContractId(std::move(contract)),
                      base::ServiceName(std::move(service)),
                      base::ModelName(std::move(model))};
  return reader.Done();
}

bool ReadSetPlanner(const json& value,
                    const std::string& where,
                    RequestedChange* out,
                    CodecFault* fault) {
  JsonReader reader(value, where, fault);
  std::string service;
  SetPlanner change;
  reader.Id("service", &service);
  if (reader.Any("role_change_price") != nullptr) {
    reader.Number("role_change_price", 0, kMaxRoleChangePrice,
                  &change.role_change_price.emplace());
  }
  if (reader.Any("planner_enabled") != nullptr) {
    reader.OptionalFlag("planner_enabled", &change.planner_enabled.emplace());
  }
  change.service = base::ServiceName(std::move(service));
  *out = std::move(change);
  return reader.Done();
}

struct ChangeKind {
  std::string_view name;
  ChangeReader read;
};

constexpr ChangeKind kChangeKinds[] = {
    {"upsert_contract", &ReadPart<UpsertContract, &UpsertContract::contract>},
    {"remove_contract", &ReadName<RemoveContract, &RemoveContract::contract>},
    {"upsert_intent", &ReadUpsertIntent},
    {"remove_intent", &ReadRemoveIntent},
    {"upsert_service", &ReadPart<UpsertService, &UpsertService::service>},
    {"remove_service", &ReadName<RemoveService, &RemoveService::service>},
    {"set_planner", &ReadSetPlanner},
    {"upsert_operator", &ReadPart<UpsertOperator, &UpsertOperator::op>},
    {"remove_operator", &ReadName<RemoveOperator, &RemoveOperator::op>},
};

bool ReadOneChange(const json& value,
                   const std::string& where,
                   RequestedChange* out,
                   CodecFault* fault) {
  if (!value.is_object() || value.size() != 1) {
    return Fail(fault, CodecError::kWrongType, where,
                "must be an object with one member, the kind of change");
  }
  const std::string& name = value.begin().key();
  const auto* const kind =
      std::ranges::find(kChangeKinds, name, &ChangeKind::name);
  if (kind == std::end(kChangeKinds)) {
    return Fail(fault, CodecError::kUnknownMember, AppendToPointer(where, name),
                "unknown kind of change");
  }
  return kind->read(value.begin().value(), AppendToPointer(where, name), out,
                    fault);
}

// Applies one change. Each overload returns an empty string on success or an
// error message.
struct ApplyChange {
  Configuration& configuration;

  std::string operator()(const UpsertContract& it) const {
    configuration.contracts.insert_or_assign(it.contract.id, it.contract);
    return {};
  }
  std::string operator()(const RemoveContract& it) const {
    return configuration.contracts.erase(it.contract) > 0
               ? ""
               : "unknown contract " + it.contract.str();
  }
  std::string operator()(const UpsertIntent& it) const {
    const auto contract = configuration.contracts.find(it.contract);
    if (contract == configuration.contracts.end()) {
      return "unknown contract " + it.contract.str();
    }
    std::vector<Intent>& intents = contract->second.intents;
    const auto existing = Find(intents, it.intent.service, it.intent.model);
    if (existing != intents.end()) {
      *existing = it.intent;
      return {};
    }
    if (intents.size() >= kMaxIntentsPerContract) {
      return "the contract already has the maximum of " +
             std::to_string(kMaxIntentsPerContract) + " intents";
    }
    intents.push_back(it.intent);
    return {};
  }
  std::string operator()(const RemoveIntent& it) const {
    const auto contract = configuration.contracts.find(it.contract);
    if (contract == configuration.contracts.end()) {
      return "unknown contract " + it.contract.str();
    }
    std::vector<Intent>& intents = contract->second.intents;
    const auto existing = Find(intents, it.service, it.model);
    if (existing == intents.end()) {
      return "the contract has no intent for service " + it.service.str() +
             ", model '" + it.model.str() + "'";
    }
    intents.erase(existing);
    return {};
  }
  std::string operator()(const UpsertService& it) const {
    configuration.services.insert_or_assign(it.service.name, it.service);
    return {};
  }
  std::string operator()(const RemoveService& it) const {
    return configuration.services.erase(it.service) > 0
               ? ""
               : "unknown service " + it.service.str();
  }
  std::string operator()(const SetPlanner& it) const {
    const auto service = configuration.services.find(it.service);
    if (service == configuration.services.end()) {
      return "unknown service " + it.service.str();
    }
    ServiceSpec& spec = service->second;
    spec.role_change_price =
        it.role_change_price.value_or(spec.role_change_price);
    spec.planner_enabled = it.planner_enabled.value_or(spec.planner_enabled);
    return {};
  }
  std::string operator()(const UpsertOperator& it) const {
    configuration.operators.insert_or_assign(it.op.id, it.op);
    return {};
  }
  std::string operator()(const RemoveOperator& it) const {
    return configuration.operators.erase(it.op) > 0
               ? ""
               : "unknown operator " + it.op.str();
  }

 private:
  static std::vector<Intent>::iterator Find(std::vector<Intent>& intents,
                                            const base::ServiceName& service,
                                            const base::ModelName& model) {
    return std::ranges::find_if(intents, [&](const Intent& it) {
      return it.service == service && it.model == model;
    });
  }
};

}  // namespace

std::optional<ChangeRequest> ParseChangeRequest(std::string_view text,
                                                CodecFault* fault) {
  json value;
  if (!details::ParseObject(text, kMaxChangeRequestBytes, &value, fault)) {
    return std::nullopt;
  }
  ChangeRequest request;
  JsonReader reader(value, "", fault);
  reader.OptionalText("note", kMaxNoteBytes, &request.note);
  reader.Each(
      "changes", json::value_t::array, kMaxRequestedChanges,
      [&](const std::string&, const json& it, const std::string& where) {
        return ReadOneChange(it, where, &request.changes.emplace_back(), fault);
      });
  if (reader.Any("rollback_to") != nullptr) {
    std::int64_t revision = 0;
    reader.Integer("rollback_to", 0, INT64_MAX, &revision);
    request.rollback_to = base::Revision(revision);
  }
  if (!reader.Done()) {
    return std::nullopt;
  }
  if (request.changes.empty() == !request.rollback_to) {
    Fail(fault, CodecError::kMissing, "/changes",
         "exactly one of changes and rollback_to is required");
    return std::nullopt;
  }
  return request;
}

bool ApplyChangeRequest(const ChangeRequest& request,
                        Configuration* configuration,
                        CodecFault* fault) {
  std::size_t n = 0;
  return std::ranges::all_of(
      request.changes, [&](const RequestedChange& change) {
        const std::string error =
            std::visit(ApplyChange{*configuration}, change);
        const std::string where =
            AppendToPointer("/changes", std::to_string(n++));
        return error.empty() ||
               Fail(fault, CodecError::kBadReference, where, error);
      });
}

}  // namespace lynxglade::version
