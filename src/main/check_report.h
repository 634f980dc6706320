// GET /v1/admin/check: the settings of this instance, and which of the external
// services that it needs are reachable now.
#ifndef LYNXGLADE_MAIN_CHECK_REPORT_H_
#define LYNXGLADE_MAIN_CHECK_REPORT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "connection/api_call.h"
#include "connection/key_value.h"
#include "process/settings.h"

namespace lynxglade {

// `probe` returns why the service is not reachable, or nothing if it is. It
// blocks for about one timeout at most.
struct ExternalService {
  std::string name;
  std::function<std::optional<std::string>()> probe;
};

// The key-value service, the instance list and the weight store. `key_value`
// must outlive the result.
std::vector<ExternalService> PlatformServices(
    const process::Settings& settings,
    const connection::KeyValue& key_value);

// Answers {"settings":[{name,value}],"services":[{name,reachable,reason}]}.
// Secrets are reported as "set" or "not set" only. Probes run one after
// another.
connection::ApiHandler MakeCheckHandler(const process::Settings& settings,
                                        std::vector<ExternalService> services);

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_CHECK_REPORT_H_
