// Sample configurations for tests.
#ifndef LYNXGLADE_TESTS_VERSION_SAMPLE_H_
#define LYNXGLADE_TESTS_VERSION_SAMPLE_H_

#include <string>

#include <rapidcheck.h>

#include "version/configuration.h"
#include "version/digest.h"

namespace lynxglade::version {

inline Intent SampleIntent(double share, const std::string& model = "m1") {
  return {base::ServiceName("llm"),
          base::ModelName(model),
          base::ModelVersion("v1"),
          {},
          share,
          5};
}

// One service of model engines, one of plain targets and two contracts.
inline Configuration SampleConfiguration() {
  Configuration sample;
  const base::ServiceName llm("llm");
  const base::ServiceName portal("portal");
  sample.services[llm] = {llm, true, 2.5, true};
  sample.services[portal] = {portal, false, 1.0, false};
  const base::ContractId archive("archive");
  const base::ContractId parish("parish");
  sample.contracts[archive] = {archive,
                               "National archive",
                               {SampleIntent(0.5)},
                               std::chrono::seconds(30),
                               {Sha256Hex("caller")}};
  sample.contracts[parish] = {parish, "", {SampleIntent(0.25)}, {}, {}};
  sample.contracts[parish].default_deadline = std::chrono::seconds(5);
  return sample;
}

// Adds, removes or changes a random contract.
inline void Mutate(Configuration* configuration) {
  const int n = *rc::gen::inRange(0, 4);
  const base::ContractId id("c" + std::to_string(n));
  if (configuration->contracts.contains(id) && *rc::gen::inRange(0, 3) == 0) {
    configuration->contracts.erase(id);
    return;
  }
  Contract& contract = configuration->contracts[id];
  contract.id = id;
  contract.display_name = std::to_string(*rc::gen::inRange(0, 1000));
  contract.intents = {SampleIntent(*rc::gen::inRange(1, 50) / 1000.0)};
  configuration->services[base::ServiceName("llm")].role_change_price =
      *rc::gen::inRange(0, 100) / 7.0;
}

}  // namespace lynxglade::version

#endif  // LYNXGLADE_TESTS_VERSION_SAMPLE_H_
