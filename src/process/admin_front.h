// Request handler of the operators' port: health, readiness, metrics and the
// administration API.
#ifndef LYNXGLADE_PROCESS_ADMIN_FRONT_H_
#define LYNXGLADE_PROCESS_ADMIN_FRONT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "connection/api_call.h"
#include "connection/http_server.h"
#include "version/configuration.h"

namespace lynxglade::process {

// Handler for all administration paths with a prefix.
struct AdminRoute {
  std::string path_prefix;
  // Minimum role for GET, and for all other methods.
  version::OperatorRole read_role = version::OperatorRole::kReadOnly;
  version::OperatorRole write_role = version::OperatorRole::kFleet;
  connection::ApiHandler handle;
};

// All must be thread-safe.
struct AdminFrontHooks {
  // The role of an operator key; empty for an unknown key.
  std::function<std::optional<version::OperatorRole>(const std::string& key)>
      role_of_key;
  // Why this instance is not ready for requests; empty when it is.
  std::function<std::optional<std::string>()> not_ready;
};

// Thread-safe. `metrics` must outlive it.
class AdminFront {
 public:
  AdminFront(AdminFrontHooks hooks,
             std::vector<AdminRoute> routes,
             base::Metrics& metrics);
  AdminFront(const AdminFront&) = delete;
  AdminFront& operator=(const AdminFront&) = delete;

  // To be used as HttpHandler.
  void Handle(connection::HttpExchange& exchange) const;

  // For HttpServerOptions::screen: rejects unauthorised requests before their
  // body is read.
  std::optional<connection::HttpEarlyAnswer> Screen(
      const connection::HttpRequest& head) const;

 private:
  // Returns the route of an authorised call; otherwise null, and `refusal` is
  // the answer.
  const AdminRoute* Authorize(const connection::ApiCall& call,
                              connection::ApiAnswer* refusal) const;
  // Counts a rejected call; returns `answer`.
  connection::ApiAnswer CountRefusal(const std::string& reason,
                                     connection::ApiAnswer answer) const;
  connection::ApiAnswer HandleAdmin(const connection::ApiCall& call) const;
  const AdminRoute* FindRoute(const std::string& path) const;

  AdminFrontHooks hooks_;
  std::vector<AdminRoute> routes_;
  base::Metrics& metrics_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ADMIN_FRONT_H_
