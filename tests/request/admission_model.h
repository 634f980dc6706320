// Discrete-event model of a service behind one fair queue. Seeded and
// deterministic. Shared by the fair queue's tests and
// bench/admission_experiment.
#ifndef LYNXGLADE_TESTS_REQUEST_ADMISSION_MODEL_H_
#define LYNXGLADE_TESTS_REQUEST_ADMISSION_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "request/fair_queue.h"

namespace lynxglade::request {

struct ModelContract {
  std::string name;
  double share = 0;
  // Offered load as a fraction of the whole capacity.
  double load = 0;
  // Fraction of the work that is prefill.
  double prefill_part = 0.5;
  double worth = 1;
  base::Duration deadline = std::chrono::seconds(10);
};

struct AdmissionModelOptions {
  std::vector<ModelContract> contracts;
  int concurrency = 16;
  Rates rates{64000, 6400};
  // Mean run time of a request.
  base::Duration run_time = std::chrono::milliseconds(500);
  // Cost estimates are too high or too low by up to this factor.
  double estimate_error = 2;
  // False: all contracts share one flow.
  bool fair = true;
  base::Duration run_for = std::chrono::seconds(200);
  std::uint64_t seed = 1;
};

struct ContractResult {
  std::size_t offered = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
  double offered_worth = 0;
  // Total worth of the requests completed by their deadlines.
  double goodput = 0;
  // Work completed, in seconds of the whole capacity.
  double work = 0;
  std::map<std::string, std::size_t> refused;
};

struct AdmissionModelResult {
  std::map<std::string, ContractResult> contracts;
  // Events after which a request waited although concurrency was available.
  std::size_t idle_while_waiting = 0;
};

AdmissionModelResult RunAdmissionModel(const AdmissionModelOptions& options);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_TESTS_REQUEST_ADMISSION_MODEL_H_
