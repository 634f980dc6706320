// KvTransport over cpp-httplib.
#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "connection/http_limits.h"
#include "connection/key_value.h"

namespace lynxglade::connection {
namespace {

constexpr std::size_t kMaxIdleConnections = 8;
constexpr int kHttpOk = 200;
constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);

// Idle connections to one service.
class ClientPool {
 public:
  explicit ClientPool(std::string base_url) : base_url_(std::move(base_url)) {}
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  std::unique_ptr<httplib::Client> Take() {
    {
      const std::scoped_lock lock(mutex_);
      if (!idle_.empty()) {
        std::unique_ptr<httplib::Client> client = std::move(idle_.back());
        idle_.pop_back();
        return client;
      }
    }
    auto client = std::make_unique<httplib::Client>(base_url_);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
  }

  // Call only if the last call on the connection succeeded.
  void Return(std::unique_ptr<httplib::Client> client) {
    const std::scoped_lock lock(mutex_);
    if (idle_.size() < kMaxIdleConnections) {
      idle_.push_back(std::move(client));
    }
  }

 private:
  const std::string base_url_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

// Nothing was sent if the connection could not be established.
KvError Classify(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
      return KvError::kUnreachable;
    default:
      return KvError::kAmbiguous;
  }
}

void SetTimeouts(base::Duration timeout, httplib::Client* client) {
  client->set_connection_timeout(std::min(timeout, kConnectTimeout));
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
}

// Collects the answer of one call and bounds its size and total time.
class Exchange {
 public:
  explicit Exchange(const KvCall& call)
      : call_(call), deadline_(base::BootClock::now() + call.timeout) {}

  httplib::Request MakeRequest() {
    httplib::Request request;
    request.method = "POST";
    request.path = call_.path;
    request.body = call_.body;
    request.set_header("Content-Type", "application/json");
    request.response_handler = [this](const httplib::Response& response) {
      answer_.status = response.status;
      return true;
    };
    request.content_receiver = [this](const char* data, std::size_t n,
                                      std::uint64_t, std::uint64_t) {
      return Take(std::string_view(data, n));
    };
    return request;
  }

  KvAnswer TakeAnswer() { return std::move(answer_); }
  // `on_chunk` returned false.
  bool ended_by_receiver() const noexcept { return ended_by_receiver_; }

 private:
  bool Take(std::string_view chunk) {
    // Catches a stop requested before the connection was established.
    if (call_.stop.stop_requested()) {
      return false;
    }
    if (call_.on_chunk && answer_.status == kHttpOk) {
      ended_by_receiver_ = !call_.on_chunk(chunk);
      return !ended_by_receiver_;
    }
    answer_.body.append(chunk);
    // The library's timeout applies to each read; this bounds the whole answer.
    return answer_.body.size() <= kMaxPlatformBodyBytes &&
           base::BootClock::now() < deadline_;
  }

  const KvCall& call_;
  const base::Time deadline_;
  KvAnswer answer_;
  bool ended_by_receiver_ = false;
};

std::optional<KvAnswer> SendCall(ClientPool& pool,
                                 const KvCall& call,
                                 KvError* error) {
  std::unique_ptr<httplib::Client> client = pool.Take();
  SetTimeouts(call.timeout, client.get());
  Exchange exchange(call);
  httplib::Request request = exchange.MakeRequest();
  httplib::Response response;
  httplib::Error ec = httplib::Error::Success;
  bool sent = false;
  {
    const std::stop_callback on_stop(call.stop, [&] { client->stop(); });
    sent = client->send(request, response, ec);
  }
  if (sent) {
    pool.Return(std::move(client));
    return exchange.TakeAnswer();
  }
  if (exchange.ended_by_receiver()) {
    return exchange.TakeAnswer();
  }
  *error = Classify(ec);
  return std::nullopt;
}

}  // namespace

KvTransport MakeHttpKvTransport(
    const std::string& base_url,
    std::function<void(std::string_view path)> on_call) {
  const auto pool = std::make_shared<ClientPool>(base_url);
  return
      [pool, on_call = std::move(on_call)](const KvCall& call, KvError* error) {
        if (on_call) {
          on_call(call.path);
        }
        return SendCall(*pool, call, error);
      };
}

}  // namespace lynxglade::connection
