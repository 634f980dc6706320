#include "version/serving_configuration.h"

#include <algorithm>
#include <utility>

namespace lynxglade::version {

ServingConfiguration::ServingConfiguration(Configuration configuration)
    : configuration_(std::move(configuration)) {
  for (const auto& [id, contract] : configuration_.contracts) {
    for (const std::string& hash : contract.key_hashes) {
      contract_by_key_hash_.emplace(hash, id);
    }
    for (const Intent& intent : contract.intents) {
      if (!intent.model.empty()) {
        ++contracts_by_model_[intent.model];
      }
    }
  }
}

const Contract* ServingConfiguration::FindContract(
    const base::ContractId& id) const {
  const auto it = configuration_.contracts.find(id);
  return it == configuration_.contracts.end() ? nullptr : &it->second;
}

const Contract* ServingConfiguration::FindContractByKeyHash(
    const std::string& key_hash) const {
  const auto it = contract_by_key_hash_.find(key_hash);
  return it == contract_by_key_hash_.end() ? nullptr : FindContract(it->second);
}

const ServiceSpec* ServingConfiguration::FindService(
    const base::ServiceName& name) const {
  const auto it = configuration_.services.find(name);
  return it == configuration_.services.end() ? nullptr : &it->second;
}

const Intent* ServingConfiguration::FindModelIntent(
    const Contract& contract,
    const base::ModelName& model) {
  const auto it = std::ranges::find(contract.intents, model, &Intent::model);
  return it == contract.intents.end() ? nullptr : &*it;
}

const Intent* ServingConfiguration::FindPlainIntent(
    const Contract& contract,
    const base::ServiceName& service) {
  const auto it =
      std::ranges::find_if(contract.intents, [&](const Intent& intent) {
        return intent.model.empty() && intent.service == service;
      });
  return it == contract.intents.end() ? nullptr : &*it;
}

bool ServingConfiguration::ServesModel(const base::ModelName& model) const {
  return contracts_by_model_.contains(model);
}

}  // namespace lynxglade::version
