// TCP server that answers HTTP requests with raw bytes given by a test.
#ifndef LYNXGLADE_TESTS_CONNECTION_SCRIPTED_SERVER_H_
#define LYNXGLADE_TESTS_CONNECTION_SCRIPTED_SERVER_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lynxglade::connection {

// Thread-safe. Listens on a free port of 127.0.0.1 from construction on.
class ScriptedServer {
 public:
  // What to do with the connection after sending the bytes.
  enum class Then { kKeep, kClose, kReset, kHang };
  struct Reply {
    std::string bytes;
    Then then = Then::kKeep;
    // Bytes of each send; 0: all at once.
    std::size_t piece_bytes = 0;
  };
  // Receives the complete request, head and body.
  using Handler = std::function<Reply(const std::string& request)>;

  explicit ScriptedServer(Handler handler);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  int port() const noexcept { return port_; }
  int connections() const;
  // Ends like a process that crashes: resets all connections and refuses new
  // ones. May be called by the handler, whose reply must then have no bytes.
  void Crash();
  // Complete requests in order of arrival.
  std::vector<std::string> requests() const;
  // Waits until the server has ended `count` connections; returns false if it
  // has not within 10 s.
  bool AwaitEnded(int count);

 private:
  void Accept();
  void Talk(int fd);
  void CountEnded();
  // Returns false if the peer closed the connection before the end.
  static bool ReadRequest(int fd, std::string* request);
  static void Send(int fd, const Reply& reply);
  static void End(int fd, Then then);
  static void Reset(int fd);

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable ended_changed_;
  int ended_ = 0;
  bool ending_ = false;
  std::vector<int> fds_;
  std::vector<std::string> requests_;
  std::vector<std::thread> talkers_;
  std::thread acceptor_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_TESTS_CONNECTION_SCRIPTED_SERVER_H_
