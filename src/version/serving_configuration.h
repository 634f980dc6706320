// Immutable, indexed view of a configuration for request handling; built once
// per accepted revision.
#ifndef LYNXGLADE_VERSION_SERVING_CONFIGURATION_H_
#define LYNXGLADE_VERSION_SERVING_CONFIGURATION_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "version/configuration.h"

namespace lynxglade::version {

class ServingConfiguration {
 public:
  ServingConfiguration() = default;
  explicit ServingConfiguration(Configuration configuration);

  const Configuration& configuration() const noexcept { return configuration_; }

  // Return null when there is none. Pointers are valid as long as this object.
  const Contract* FindContract(const base::ContractId& id) const;
  // `key_hash` is the lower-case hexadecimal SHA-256 of a caller key.
  const Contract* FindContractByKeyHash(const std::string& key_hash) const;
  const ServiceSpec* FindService(const base::ServiceName& name) const;

  // Find the contract's intent for a model or a plain service; null if none.
  // The pointer refers into `contract`.
  static const Intent* FindModelIntent(const Contract& contract,
                                       const base::ModelName& model);
  static const Intent* FindPlainIntent(const Contract& contract,
                                       const base::ServiceName& service);

  // Whether any contract has an intent for the model.
  bool ServesModel(const base::ModelName& model) const;

 private:
  Configuration configuration_;
  // Values are keys of configuration_.contracts rather than pointers, so that
  // copies of this object stay valid.
  std::unordered_map<std::string, base::ContractId> contract_by_key_hash_;
  std::unordered_map<base::ModelName, int> contracts_by_model_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_SERVING_CONFIGURATION_H_
