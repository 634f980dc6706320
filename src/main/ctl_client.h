// Sends single calls to the administration API over HTTP.
#ifndef LYNXGLADE_MAIN_CTL_CLIENT_H_
#define LYNXGLADE_MAIN_CTL_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "main/ctl_options.h"

namespace lynxglade::ctl {

struct CtlRequest {
  std::string method;
  // Including the query.
  std::string path;
  std::string body;
};

struct CtlAnswer {
  int status = 0;
  std::string body;
};

// Nothing if no answer arrived.
using CtlSend = std::function<std::optional<CtlAnswer>(const CtlRequest&)>;

// Calls options.server with options.operator_key as bearer token.
CtlSend MakeCtlSend(const CtlOptions& options);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_CLIENT_H_
