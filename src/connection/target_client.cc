#include "connection/target_client.h"

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "connection/target_client_exchange.h"
#include "connection/target_client_pool.h"
#include "connection/target_client_watch.h"

namespace lynxglade::connection {

namespace {

// Timeout of each step of a cancel, which is useless when late.
constexpr base::Duration kCancelTimeout = std::chrono::milliseconds(500);

// The HTTP library's read timeout exceeds the idle timeout by this, so that
// AttemptWatch normally fires first.
constexpr base::Duration kReadTimeoutMargin = std::chrono::seconds(1);

struct CancelItem {
  std::string address;
  int port = 0;
  base::AttemptId attempt;
};

// Sends cancels one at a time on its own thread.
class CancelSender {
 public:
  CancelSender(TargetConnectionPool& pool, std::size_t max_queued)
      : pool_(pool), max_queued_(max_queued), thread_([this] { Loop(); }) {}
  ~CancelSender() {
    {
      const std::lock_guard lock(mutex_);
      ending_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }
  CancelSender(const CancelSender&) = delete;
  CancelSender& operator=(const CancelSender&) = delete;

  void Add(CancelItem item) {
    {
      const std::lock_guard lock(mutex_);
      if (queue_.size() >= max_queued_) {
        return;
      }
      queue_.push_back(std::move(item));
    }
    wake_.notify_one();
  }

 private:
  void Loop() {
    while (std::optional<CancelItem> item = Next()) {
      Send(*item);
    }
  }

  // Blocks; nullopt once the destructor runs.
  std::optional<CancelItem> Next() {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return ending_ || !queue_.empty(); });
    if (ending_) {
      return std::nullopt;
    }
    CancelItem item = std::move(queue_.front());
    queue_.pop_front();
    return item;
  }

  void Send(const CancelItem& item) {
    const auto client = pool_.Take(item.address, item.port, true);
    client->set_connection_timeout(kCancelTimeout);
    client->set_read_timeout(kCancelTimeout);
    client->set_write_timeout(kCancelTimeout);
    const nlohmann::json body = {{"attempt_id", item.attempt.str()}};
    // Best effort: closing the attempt's connection cancels it, too.
    client->Post("/v1/cancel", body.dump(), "application/json");
  }

  TargetConnectionPool& pool_;
  const std::size_t max_queued_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool ending_ = false;
  std::deque<CancelItem> queue_;
  std::thread thread_;
};

request::AttemptReport Rejected(std::string message) {
  request::AttemptReport report;
  report.outcome = base::Outcome::kNotRun;
  report.end = request::AttemptEnd::kRefused;
  report.refusal = request::TargetRefusal::kBadRequest;
  report.message = std::move(message);
  return report;
}

}  // namespace

struct TargetClient::Details {
  Details(base::Clock c, const TargetClientOptions& o)
      : clock(std::move(c)),
        options(o),
        pool(clock,
             {.connect_timeout = o.connect_timeout,
              .write_timeout = o.write_timeout,
              .idle_timeout = o.idle_timeout,
              .max_idle_per_target = o.max_idle_per_target}),
        watch(clock, o.poll_period, [this] { pool.CloseIdle(); }),
        cancels(pool, o.max_queued_cancels) {}

  const base::Clock clock;
  const TargetClientOptions options;
  TargetConnectionPool pool;
  AttemptWatch watch;
  CancelSender cancels;
};

TargetClient::TargetClient(base::Clock clock, TargetClientOptions options) {
  std::signal(SIGPIPE, SIG_IGN);
  details_ = std::make_unique<Details>(std::move(clock), options);
}

TargetClient::~TargetClient() = default;

request::AttemptReport TargetClient::Run(const request::AttemptSpec& spec,
                                         const request::TokenSink& sink) {
  const bool plain = spec.role == request::EngineRole::kPlain;
  if (plain && !IsSendable(*spec.request)) {
    return Rejected(
        "method, path or content type has characters that HTTP forbids");
  }
  std::optional<std::string> body =
      plain ? spec.request->body : EngineBody(spec);
  if (!body) {
    return Rejected("request body is not a JSON object");
  }
  const std::size_t body_size = body->size();
  TargetExchange exchange(spec, sink, std::move(*body), details_->clock,
                          details_->options.max_plain_body);
  auto client = details_->pool.Take(spec.address, spec.port,
                                    spec.request->non_idempotent);
  const base::Duration idle_timeout =
      spec.idle_timeout > base::Duration::zero()
          ? std::min(spec.idle_timeout, spec.timeout)
          : spec.timeout;
  // A request without a body is not watched until the head of the answer
  // arrives, so the read timeout enforces the idle timeout until then.
  client->set_read_timeout(body_size == 0 ? idle_timeout
                                          : idle_timeout + kReadTimeoutMargin);
  client->set_connection_timeout(
      std::min(spec.timeout, details_->options.connect_timeout));
  const auto watched =
      details_->watch.Add({.deadline = details_->clock() + spec.timeout,
                           .idle_timeout = idle_timeout,
                           .cancelled = sink.cancelled,
                           .stop = [&client] { client->stop(); }});
  request::AttemptReport report = exchange.Perform(*client, *watched);
  details_->watch.Remove(watched);
  if (exchange.connection_clean()) {
    details_->pool.Keep(spec.address, spec.port, std::move(client));
  }
  return report;
}

void TargetClient::Cancel(const request::AttemptSpec& spec) {
  if (spec.role == request::EngineRole::kPlain) {
    return;
  }
  details_->cancels.Add(
      {.address = spec.address, .port = spec.port, .attempt = spec.id});
}

}  // namespace lynxglade::connection
