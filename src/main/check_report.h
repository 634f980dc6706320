// GET /v1/admin/check: the settings in use, and which outside services this
// instance can reach now.
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

// A service that the instance needs. `probe` blocks for about a time-out and
// returns why the service is not reachable, or nothing.
struct ExternalService {
  std::string name;
  std::function<std::optional<std::string>()> probe;
};

// The platform's three services under these settings. `key_value` must
// outlive what is returned.
std::vector<ExternalService> PlatformServices(
    const process::Settings& settings,
    const connection::KeyValue& key_value);

// Answers {"settings":[{name,value}],"services":[{name,reachable,reason}]}.
// Secrets are shown as "set" or "not set". Probes run one after another.
connection::ApiHandler MakeCheckHandler(const process::Settings& settings,
                                        std::vector<ExternalService> services);

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_CHECK_REPORT_H_
