// One call of the administration API, independent of the HTTP library, so that
// handlers can be tested without a socket.
#ifndef LYNXGLADE_CONNECTION_API_CALL_H_
#define LYNXGLADE_CONNECTION_API_CALL_H_

#include <functional>
#include <map>
#include <string>

namespace lynxglade::connection {

struct ApiCall {
  std::string method;  // "GET", "POST", "PUT", "DELETE"
  std::string path;    // without the query
  std::map<std::string, std::string> query;
  std::string body;
  // The operator's key from "Authorization: Bearer ...". Must not be logged.
  std::string operator_key;
};

struct ApiAnswer {
  int status = 200;
  // JSON text.
  std::string body;
};

// Handles one call on a thread of the admin server. May block.
using ApiHandler = std::function<ApiAnswer(const ApiCall&)>;

// Builds {"error":{"code":...,"message":...}}.
ApiAnswer ApiError(int status,
                   const std::string& code,
                   const std::string& message);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_API_CALL_H_
