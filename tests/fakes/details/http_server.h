// An HTTP listener that can be broken on purpose: closed and opened again,
// its connections reset, its answers held back.
//
// Built on cpp-httplib, with the connection loop replaced so that an idle kept
// connection sleeps in poll() and every connection can be reset. One small
// thread a connection. Only .cc files may include this header.
#ifndef LYNXGLADE_FAKES_DETAILS_HTTP_SERVER_H_
#define LYNXGLADE_FAKES_DETAILS_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/time.h"

namespace lynxglade::fakes {

inline constexpr base::Duration kDefaultIdleTimeout = std::chrono::seconds(60);

// Adds handlers to a server that is about to start.
using RouteSetup = std::function<void(httplib::Server&)>;

// Opens and closes one listening address; thread-safe except that Close() must
// not be called on a connection thread.
class HttpListener {
 public:
  // `idle_timeout` is how long a kept connection may wait for its next request.
  HttpListener(std::string address,
               int port,
               base::Duration idle_timeout,
               RouteSetup setup);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds and serves; port 0 picks a free one, which stays for later opens.
  // Returns false when the address cannot be bound.
  bool Open();
  // Refuses new connections and ends idle ones; running answers go on.
  void StopListening();
  // Stops listening, resets every connection and waits for their threads.
  void Close();
  // Resets every connection and goes on listening.
  void ResetConnections();

  int port() const noexcept { return port_; }

 private:
  class Server;

  std::string address_;
  int port_;
  base::Duration idle_timeout_;
  RouteSetup setup_;
  std::mutex mutex_;
  std::unique_ptr<Server> server_;
  // Servers that take no more connections but still answer on some.
  std::vector<std::unique_ptr<Server>> retired_;
};

// Resets the connection of the handler that runs on this thread: the peer sees
// ECONNRESET, whatever the handler does afterwards.
void ResetOwnConnection();

// Whether the peer of the handler on this thread is still there.
bool OwnConnectionAlive();

// Sets a JSON answer.
void AnswerJson(httplib::Response& res, int status, const nlohmann::json& body);

// The body as a JSON object; anything else gives a discarded value.
nlohmann::json ParseObject(const std::string& text);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_HTTP_SERVER_H_
