#include "fakes/details/http_server.h"

#include <pthread.h>
#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <set>
#include <thread>
#include <utility>

#include "connection/http_limits.h"
#include "fakes/details/connection_stream.h"

namespace lynxglade::fakes {

namespace {

constexpr std::size_t kMaxRequests = 1'000'000;
constexpr std::size_t kMaxBodyBytes = 64u << 20;
constexpr int kMillisPerSecond = 1000;

// The connection whose handler runs on this thread.
thread_local ConnectionStream* own_connection = nullptr;

// Dissolving the association sends a reset but leaves the descriptor open, so
// that its number cannot be reused while other threads still refer to it.
void ResetSocket(int fd) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (::connect(fd, &none, sizeof(none)) != 0) {
    ::shutdown(fd, SHUT_RDWR);
  }
}

// Starts one thread with a small stack for each connection.
class ThreadPerConnection final : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> fn) override {
    {
      const std::lock_guard lock(mutex_);
      ++running_;
    }
    auto* task = new Task{this, std::move(fn)};
    pthread_attr_t attr;
    ::pthread_attr_init(&attr);
    ::pthread_attr_setstacksize(&attr, connection::kConnectionStackBytes);
    ::pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    pthread_t thread{};
    if (::pthread_create(&thread, &attr, &Run, task) != 0) {
      delete task;
      Finish();
    }
    ::pthread_attr_destroy(&attr);
  }

  void shutdown() override {
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [this] { return running_ == 0; });
  }

 private:
  struct Task {
    ThreadPerConnection* queue;
    std::function<void()> fn;
  };

  static void* Run(void* argument) {
    const std::unique_ptr<Task> task(static_cast<Task*>(argument));
    task->fn();
    task->queue->Finish();
    return nullptr;
  }

  void Finish() {
    const std::lock_guard lock(mutex_);
    --running_;
    idle_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable idle_;
  int running_ = 0;
};

}  // namespace

class HttpListener::Server final : public httplib::Server {
 public:
  explicit Server(base::Duration idle_timeout)
      : idle_ms_(static_cast<int>(base::ToMillis(idle_timeout))) {
    new_task_queue = [] { return new ThreadPerConnection; };
    set_tcp_nodelay(true);
    set_keep_alive_max_count(kMaxRequests);
    set_keep_alive_timeout(idle_ms_ / kMillisPerSecond);
    set_payload_max_length(kMaxBodyBytes);
    set_socket_options([this](int fd) {
      const int on = 1;
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      listen_fd_ = fd;
    });
  }

  // cpp-httplib listens with a backlog of 5; a second listen() enlarges it.
  void WidenBacklog() const {
    ::listen(listen_fd_, connection::kListenBacklog);
  }

  ~Server() override {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Serve() {
    thread_ = std::thread([this] { listen_after_bind(); });
    while (!is_running()) {
      std::this_thread::yield();
    }
  }

  // Shutting the socket down ends the accept loop; unlike stop(), it does not
  // interrupt running responses.
  void StopListening() {
    ::shutdown(listen_fd_, SHUT_RDWR);
    const std::lock_guard lock(mutex_);
    ending_ = true;
    for (const int fd : idle_) {
      ::shutdown(fd, SHUT_RD);
    }
  }

  void ResetAll() {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      ResetSocket(fd);
    }
  }

 private:
  bool process_and_close_socket(int fd) override {
    Register(fd);
    ConnectionStream stream(fd);
    own_connection = &stream;
    bool going = true;
    while (going && WaitForRequest(stream)) {
      bool closed = false;
      going = process_request(stream, Ending(), closed, nullptr) && !closed;
    }
    own_connection = nullptr;
    Unregister(fd);
    return true;
  }

  bool WaitForRequest(const ConnectionStream& stream) {
    const int fd = stream.socket();
    {
      const std::lock_guard lock(mutex_);
      if (ending_) {
        return false;
      }
      idle_.insert(fd);
    }
    const bool readable = stream.WaitReadable(idle_ms_);
    const std::lock_guard lock(mutex_);
    idle_.erase(fd);
    return readable;
  }

  bool Ending() {
    const std::lock_guard lock(mutex_);
    return ending_;
  }

  void Register(int fd) {
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
  }

  void Unregister(int fd) {
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
  }

  int idle_ms_;
  int listen_fd_ = -1;
  std::thread thread_;
  std::mutex mutex_;
  std::set<int> open_;
  std::set<int> idle_;
  bool ending_ = false;
};

HttpListener::HttpListener(std::string address,
                           int port,
                           base::Duration idle_timeout,
                           RouteSetup setup)
    : address_(std::move(address)),
      port_(port),
      idle_timeout_(idle_timeout),
      setup_(std::move(setup)) {}

HttpListener::~HttpListener() {
  Close();
}

bool HttpListener::Open() {
  const std::lock_guard lock(mutex_);
  if (server_) {
    return true;
  }
  auto server = std::make_unique<Server>(idle_timeout_);
  setup_(*server);
  if (port_ == 0) {
    port_ = server->bind_to_any_port(address_);
    if (port_ < 0) {
      port_ = 0;
      return false;
    }
  } else if (!server->bind_to_port(address_, port_)) {
    return false;
  }
  server->WidenBacklog();
  server->Serve();
  server_ = std::move(server);
  return true;
}

void HttpListener::StopListening() {
  const std::lock_guard lock(mutex_);
  if (server_) {
    server_->StopListening();
    retired_.push_back(std::move(server_));
  }
}

void HttpListener::Close() {
  StopListening();
  ResetConnections();
  const std::lock_guard lock(mutex_);
  retired_.clear();
}

void HttpListener::ResetConnections() {
  const std::lock_guard lock(mutex_);
  if (server_) {
    server_->ResetAll();
  }
  for (const auto& it : retired_) {
    it->ResetAll();
  }
}

void ResetOwnConnection() {
  if (own_connection != nullptr) {
    ResetSocket(own_connection->socket());
  }
}

bool OwnConnectionAlive() {
  return own_connection == nullptr || own_connection->IsAlive();
}

void AnswerJson(httplib::Response& res,
                int status,
                const nlohmann::json& body) {
  res.status = status;
  res.set_content(
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json");
}

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return {nlohmann::json::value_t::discarded};
  }
  return value;
}

}  // namespace lynxglade::fakes
