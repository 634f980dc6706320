// The operators' port: health, readiness, metrics and the administration API.
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

// A part of the administration API, by the start of its paths.
struct AdminRoute {
  std::string path_prefix;
  // Least role that may read (GET) and that may do anything else.
  version::OperatorRole read_role = version::OperatorRole::kReadOnly;
  version::OperatorRole write_role = version::OperatorRole::kFleet;
  connection::ApiHandler handle;
};

// All must be thread-safe.
struct AdminFrontHooks {
  // The role of an operator's key; nothing for a key that is not known.
  std::function<std::optional<version::OperatorRole>(const std::string& key)>
      role_of_key;
  // Why this instance takes no callers now; nothing when it does.
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

  // An HttpHandler.
  void Handle(connection::HttpExchange& exchange) const;

  // For HttpServerOptions::screen: refuses what the operator may not do, so
  // that its body need not be read.
  std::optional<connection::HttpEarlyAnswer> Screen(
      const connection::HttpRequest& head) const;

 private:
  // The route, null when `refusal` says why the call may not be made.
  const AdminRoute* Admit(const connection::ApiCall& call,
                          connection::ApiAnswer* refusal) const;
  connection::ApiAnswer Refused(const std::string& reason,
                                connection::ApiAnswer answer) const;
  connection::ApiAnswer HandleAdmin(const connection::ApiCall& call) const;
  const AdminRoute* FindRoute(const std::string& path) const;

  AdminFrontHooks hooks_;
  std::vector<AdminRoute> routes_;
  base::Metrics& metrics_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ADMIN_FRONT_H_
