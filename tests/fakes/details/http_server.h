// An HTTP listener with simulated faults: it can be closed and reopened, its
// connections reset and its responses delayed.
//
// Based on cpp-httplib with its own connection loop, in which an idle
// kept-alive connection sleeps in poll() and every connection can be reset. One
// thread with a small stack per connection. Only .cc files may include this
// header.
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

// Opens and closes one listening address. Thread-safe, but Close() must not be
// called on a connection thread.
class HttpListener {
 public:
  // `idle_timeout`: maximum time a kept-alive connection waits for a request.
  HttpListener(std::string address,
               int port,
               base::Duration idle_timeout,
               RouteSetup setup);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds and serves; port 0 picks a free port, which later calls reuse.
  // Returns false when the address cannot be bound.
  bool Open();
  // Refuses new connections and closes idle ones; running responses continue.
  void StopListening();
  // Stops listening, resets all connections and joins their threads.
  void Close();
  // Resets all connections and continues to listen.
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
  // Servers that accept no new connections but still have running responses.
  std::vector<std::unique_ptr<Server>> retired_;
};

// Resets the connection of the handler that runs on this thread. The peer gets
// ECONNRESET regardless of what the handler does afterwards.
void ResetOwnConnection();

// Whether the peer of the handler on this thread is still connected.
bool OwnConnectionAlive();

// Sets a JSON response.
void AnswerJson(httplib::Response& res, int status, const nlohmann::json& body);

// Parses a JSON object; returns a discarded value for anything else.
nlohmann::json ParseObject(const std::string& text);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_HTTP_SERVER_H_
