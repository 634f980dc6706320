// HTTP server of the stand-ins: one thread a connection.
#ifndef LYNXGLADE_REVIEW_STAND_INS_HTTP_SERVER_H_
#define LYNXGLADE_REVIEW_STAND_INS_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/sockets.h"

namespace lynxglade::review {

// Thread-safe.
class HttpServer {
 public:
  // Returns the bytes of the answer; nothing closes the connection without one.
  // Called on the connection's thread.
  using Handler =
      std::function<std::optional<std::string>(const Message& request)>;

  HttpServer(std::uint16_t port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const noexcept { return port_; }
  // Connections that are open now stay open, but nothing is read from them or
  // sent on them any more. New ones work.
  void SilenceOpenConnections();
  // The same for connections that are opened from now on until it is called
  // with false.
  void SetSilent(bool silent);
  // While down, it answers no request that arrives, and nothing more is sent on
  // the connections of these, also afterwards. Requests that it has keep
  // waiting.
  void SetDown(bool down) { down_ = down; }
  // While busy, it answers each request with 429 and does nothing else.
  void SetBusy(bool busy) { busy_ = busy; }
  // Like a machine without power: open connections go silent, and new ones get
  // no answer.
  void GoDark();
  // Resets all connections and refuses new ones, like a process that ends.
  void End();

 private:
  struct Connection {
    explicit Connection(Socket it) : socket(std::move(it)) {}
    Socket socket;
    std::atomic<bool> silent = false;
    std::thread thread;
  };

  std::optional<std::string> Handle(const Message& request);
  void Accept();
  void Serve(Connection& connection);

  const Handler handler_;
  Socket listener_;
  const std::uint16_t port_;
  std::atomic<bool> ended_ = false;
  std::atomic<bool> silent_ = false;
  std::atomic<bool> dark_ = false;
  std::atomic<bool> busy_ = false;
  std::atomic<bool> down_ = false;
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::thread acceptor_;
  // Fill the queue of the listener while it is dark.
  std::vector<Socket> fillers_;
};

// An answer with a body of known length.
std::string Answer(int status,
                   const std::string& headers,
                   const std::string& body);

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_HTTP_SERVER_H_
