#include "load/deployment.h"

#include <algorithm>
#include <exception>
#include <fstream>
#include <iterator>
#include <numeric>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace lynxglade::bench {

namespace {

using nlohmann::json;

Interval ReadInterval(const json& field) {
  return {field.at(0).get<double>(), field.at(1).get<double>()};
}

ContractLoad ReadContract(const json& from) {
  ContractLoad contract;
  contract.id = base::ContractId(from.at("id").get<std::string>());
  contract.traffic = from.at("traffic").get<double>();
  contract.worth = ReadInterval(from.at("worth"));
  contract.deadline_ms = ReadInterval(from.at("deadline_ms"));
  contract.priority = from.at("priority").get<int>();
  return contract;
}

Workload ReadWorkload(const json& from) {
  Workload load;
  load.service = base::ServiceName(from.at("service").get<std::string>());
  load.model = base::ModelName(from.at("model").get<std::string>());
  from.at("requests_per_s").get_to(load.requests_per_s);
  from.at("tokens_mean").get_to(load.tokens_mean);
  from.at("tokens_sigma").get_to(load.tokens_sigma);
  from.at("ratio_high").get_to(load.ratio_high);
  from.at("ratio_low").get_to(load.ratio_low);
  from.at("swing_half_period_s").get_to(load.swing_half_period_s);
  from.at("prefix_groups").get_to(load.prefix_groups);
  from.at("prefix_share").get_to(load.prefix_share);
  from.at("whole_share").get_to(load.whole_share);
  from.at("non_idempotent_share").get_to(load.non_idempotent_share);
  load.plain_service =
      base::ServiceName(from.at("plain_service").get<std::string>());
  from.at("plain_share").get_to(load.plain_share);
  from.at("plain_non_idempotent_share").get_to(load.plain_non_idempotent_share);
  from.at("plain_path").get_to(load.plain_path);
  from.at("repeat_share").get_to(load.repeat_share);
  return load;
}

EngineFleet ReadFleet(const json& services, const base::ServiceName& name) {
  const auto it = std::ranges::find_if(services, [&](const json& service) {
    return service.at("name").get<std::string>() == name.str();
  });
  if (it == services.end()) {
    throw std::invalid_argument("no service " + name.str());
  }
  EngineFleet fleet;
  const auto per_zone = it->at("targets_per_zone").get<std::vector<int>>();
  fleet.engines = std::accumulate(per_zone.begin(), per_zone.end(), 0);
  it->at("prefill_tokens_per_s").get_to(fleet.prefill_tokens_per_s);
  it->at("decode_tokens_per_s").get_to(fleet.decode_tokens_per_s);
  it->at("stream_tokens_per_s").get_to(fleet.stream_tokens_per_s);
  it->at("kv_tokens_per_s").get_to(fleet.kv_tokens_per_s);
  it->at("change_s").get_to(fleet.change_s);
  it->at("drain_s").get_to(fleet.drain_s);
  it->at("role_change_price").get_to(fleet.role_change_price);
  return fleet;
}

}  // namespace

std::optional<Deployment> LoadDeployment(const std::string& path,
                                         std::string* last_error) {
  std::ifstream in(path);
  if (!in) {
    *last_error = "cannot open " + path;
    return std::nullopt;
  }
  try {
    const json root = json::parse(in);
    Deployment deployment;
    root.at("name").get_to(deployment.name);
    const json& contracts = root.at("contracts");
    std::ranges::transform(contracts, std::back_inserter(deployment.contracts),
                           ReadContract);
    deployment.workload = ReadWorkload(root.at("workload"));
    deployment.fleet =
        ReadFleet(root.at("services"), deployment.workload.service);
    if (deployment.contracts.empty()) {
      *last_error = path + ": no contracts";
      return std::nullopt;
    }
    return deployment;
  } catch (const std::exception& ex) {
    *last_error = path + ": " + ex.what();
    return std::nullopt;
  }
}

}  // namespace lynxglade::bench
