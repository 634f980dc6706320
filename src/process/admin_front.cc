#include "process/admin_front.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace lynxglade::process {

namespace {

using connection::ApiAnswer;
using connection::ApiCall;
using connection::ApiError;
using connection::HttpExchange;
using connection::HttpRequest;

constexpr char kJson[] = "application/json";
constexpr char kMetricsText[] = "text/plain; version=0.0.4";
constexpr std::string_view kAdminRoot = "/v1/admin/";
constexpr std::string_view kBearer = "Bearer ";

ApiCall ToApiCall(const HttpRequest& http) {
  ApiCall call;
  call.method = http.method;
  call.path = http.path;
  call.query = http.query;
  call.body = http.body;
  const std::string authorization = http.Header("authorization");
  if (authorization.starts_with(kBearer)) {
    call.operator_key = authorization.substr(kBearer.size());
  }
  return call;
}

void SendAnswer(HttpExchange& exchange, ApiAnswer answer) {
  exchange.Send(answer.status, kJson, {}, std::move(answer.body));
}

}  // namespace

AdminFront::AdminFront(AdminFrontHooks hooks,
                       std::vector<AdminRoute> routes,
                       base::Metrics& metrics)
    : hooks_(std::move(hooks)), routes_(std::move(routes)), metrics_(metrics) {
  // FindRoute() returns the first match, so that the longest prefix wins.
  std::ranges::sort(routes_, std::ranges::greater(),
                    [](const AdminRoute& it) { return it.path_prefix.size(); });
}

void AdminFront::Handle(HttpExchange& exchange) const {
  const HttpRequest& http = exchange.request();
  if (http.path == "/healthz") {
    SendAnswer(exchange, {200, R"({"alive":true})"});
  } else if (http.path == "/readyz") {
    const auto reason = hooks_.not_ready();
    SendAnswer(exchange, reason ? ApiError(503, "not_ready", *reason)
                                : ApiAnswer{200, R"({"ready":true})"});
  } else if (http.path == "/metrics") {
    exchange.Send(200, kMetricsText, {}, metrics_.Render());
  } else if (http.path.starts_with(kAdminRoot)) {
    SendAnswer(exchange, HandleAdmin(ToApiCall(http)));
  } else {
    SendAnswer(exchange, ApiError(404, "not_found", "no such path"));
  }
}

std::optional<connection::HttpEarlyAnswer> AdminFront::Screen(
    const HttpRequest& head) const {
  ApiAnswer refusal;
  if (!head.path.starts_with(kAdminRoot)) {
    refusal =
        ApiError(404, "not_found", "no endpoint at this path accepts a body");
  } else if (Authorize(ToApiCall(head), &refusal) != nullptr) {
    return std::nullopt;
  }
  return connection::HttpEarlyAnswer{refusal.status, {}, refusal.body};
}

ApiAnswer AdminFront::HandleAdmin(const ApiCall& call) const {
  ApiAnswer refusal;
  const AdminRoute* route = Authorize(call, &refusal);
  return route == nullptr ? refusal : route->handle(call);
}

const AdminRoute* AdminFront::Authorize(const ApiCall& call,
                                        ApiAnswer* refusal) const {
  const auto role = hooks_.role_of_key(call.operator_key);
  if (!role) {
    *refusal = CountRefusal(
        "unauthenticated",
        ApiError(401, "unauthenticated", "the operator key is not known"));
    return nullptr;
  }
  const AdminRoute* route = FindRoute(call.path);
  if (route == nullptr) {
    *refusal = ApiError(404, "not_found", "no such path");
    return nullptr;
  }
  const version::OperatorRole needed =
      call.method == "GET" ? route->read_role : route->write_role;
  if (*role < needed) {
    *refusal = CountRefusal(
        "role_too_low",
        ApiError(403, "role_too_low", "the operator's role does not allow it"));
    return nullptr;
  }
  return route;
}

ApiAnswer AdminFront::CountRefusal(const std::string& reason,
                                   ApiAnswer answer) const {
  metrics_.GetCounter("lynxglade_admin_refusals_total", {{"reason", reason}})
      .Add();
  return answer;
}

const AdminRoute* AdminFront::FindRoute(const std::string& path) const {
  const auto it = std::ranges::find_if(routes_, [&](const AdminRoute& route) {
    return path.starts_with(route.path_prefix);
  });
  return it == routes_.end() ? nullptr : &*it;
}

}  // namespace lynxglade::process
