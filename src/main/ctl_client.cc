#include "main/ctl_client.h"

#include <httplib.h>

#include <utility>

namespace lynxglade::ctl {
namespace {

constexpr time_t kConnectSeconds = 3;
// A confirmation may write a snapshot before it answers.
constexpr time_t kAnswerSeconds = 30;
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
    client.set_connection_timeout(kConnectSeconds);
    client.set_read_timeout(kAnswerSeconds);
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
