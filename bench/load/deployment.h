// Workload and engines of a deployment file. The topology in the same file is
// read by scripts/run-demo.
#ifndef LYNXGLADE_BENCH_LOAD_DEPLOYMENT_H_
#define LYNXGLADE_BENCH_LOAD_DEPLOYMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace lynxglade::bench {

// A closed interval to sample from.
struct Interval {
  double low = 0;
  double high = 0;
};

// Share of one contract in the offered load.
struct ContractLoad {
  base::ContractId id;
  double traffic = 1;  // weight among the contracts
  Interval worth{1, 1};
  Interval deadline_ms{1000, 1000};
  int priority = 5;
};

// Shares are fractions of the requests, 0 to 1.
struct Workload {
  base::ServiceName service;
  base::ModelName model;
  double requests_per_s = 10;
  // Prompt and output tokens of a request together: log-normal.
  double tokens_mean = 500;
  double tokens_sigma = 0.5;
  // The prompt:output ratio oscillates between these with a period of twice
  // swing_half_period_s.
  double ratio_high = 3;
  double ratio_low = 1.0 / 3;
  double swing_half_period_s = 120;
  // Requests of one group share the leading part of their prompt.
  int prefix_groups = 16;
  double prefix_share = 0.5;
  double whole_share = 0.3;
  double non_idempotent_share = 0;
  base::ServiceName plain_service;
  double plain_share = 0;
  double plain_non_idempotent_share = 0;
  std::string plain_path;
  // Share of the non-idempotent requests that the caller sends again with the
  // same key through another instance.
  double repeat_share = 0;
};

// The model engines of the workload's service, which are identical.
struct EngineFleet {
  int engines = 0;
  double prefill_tokens_per_s = 0;
  double decode_tokens_per_s = 0;
  // Maximum of one stream.
  double stream_tokens_per_s = 0;
  // Rate of KV cache transfer from a prefill to a decode engine.
  double kv_tokens_per_s = 0;
  // Duration of a role change and of the drain before it.
  double change_s = 0;
  double drain_s = 0;
  double role_change_price = 0;
};

struct Deployment {
  std::string name;
  std::vector<ContractLoad> contracts;
  Workload workload;
  EngineFleet fleet;
};

// Reads a file of bench/deployments. On failure returns nullopt and sets
// `last_error`.
std::optional<Deployment> LoadDeployment(const std::string& path,
                                         std::string* last_error);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_DEPLOYMENT_H_
