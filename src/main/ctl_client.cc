#include "main/ctl_client.h"

#include <httplib.h>

#include <utility>

namespace lynxglade::ctl {
namespace {

constexpr time_t kConnectTimeoutSeconds = 3;
// Confirming a plan may write a snapshot before the answer is sent.
constexpr time_t kAnswerTimeoutSeconds = 30;
constexpr char kJson[] = "application/json";

httplib::Result Send(httplib::Client& client, const CtlRequest& request) {
  if (request.method == "POST") {
    return client.Post(request.path, request.body, kJson);
  }
  if (request.method == "DELETE") {
    return client.Delete(request.path);
  }
  return client.Get(request.path);
}

}  // namespace

CtlSend MakeCtlSend(const CtlOptions& options) {
  return [options](const CtlRequest& request) -> std::optional<CtlAnswer> {
    httplib::Client client(options.server);
    if (!client.is_valid()) {
      return std::nullopt;
    }
    client.set_connection_timeout(kConnectTimeoutSeconds);
    client.set_read_timeout(kAnswerTimeoutSeconds);
    if (!options.ca_file.empty()) {
      client.set_ca_cert_path(options.ca_file);
    }
    client.set_bearer_token_auth(options.operator_key);
    const httplib::Result result = Send(client, request);
    if (!result) {
      return std::nullopt;
    }
    return CtlAnswer{result->status, result->body};
  };
}

}  // namespace lynxglade::ctl
