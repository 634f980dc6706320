// One call of the administration API over HTTP.
#ifndef LYNXGLADE_MAIN_CTL_CLIENT_H_
#define LYNXGLADE_MAIN_CTL_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "main/ctl_options.h"

namespace lynxglade::ctl {

struct CtlRequest {
  std::string method;
  // With the query.
  std::string path;
  std::string body;
};

struct CtlAnswer {
  int status = 0;
  std::string body;
};

// Sends a request; nothing when there was no answer.
using CtlSend = std::function<std::optional<CtlAnswer>(const CtlRequest&)>;

// Over cpp-httplib, to options.server with options.operator_key.
CtlSend MakeCtlSend(const CtlOptions& options);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_CLIENT_H_
