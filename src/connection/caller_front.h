// The callers' side: chat completions and plain services over HTTP.
//
// Turns an HTTP request into a request::Request, has it served, and writes the
// answer or the refusal. Every refusal is counted by reason and logged.
#ifndef LYNXGLADE_CONNECTION_CALLER_FRONT_H_
#define LYNXGLADE_CONNECTION_CALLER_FRONT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/http_server.h"
#include "request/relay.h"
#include "request/request.h"
#include "version/serving_configuration.h"

namespace lynxglade::connection {

// All must be thread-safe.
struct CallerFrontHooks {
  std::function<std::shared_ptr<const version::ServingConfiguration>()>
      configuration;
  // Serves an admitted request; blocks.
  std::function<request::RelayResult(const request::Request&,
                                     const request::CallerSink&)>
      serve;
  // Why nothing can be taken now (stopping, not ready); usually nothing.
  std::function<std::optional<request::Refusal>()> closed;
  base::Clock now;
  base::RandomSource random;
};

// Thread-safe. `metrics` must outlive it.
class CallerFront {
 public:
  CallerFront(CallerFrontHooks hooks,
              base::Duration default_deadline,
              base::Metrics& metrics);
  CallerFront(const CallerFront&) = delete;
  CallerFront& operator=(const CallerFront&) = delete;

  // An HttpHandler.
  void Handle(HttpExchange& exchange);

  // For HttpServerOptions::screen: refuses a request whose caller, terms or
  // path are not good, so that its body need not be read.
  std::optional<HttpEarlyAnswer> Screen(const HttpRequest& head);

 private:
  void HandleChat(HttpExchange& exchange);
  void HandleModels(HttpExchange& exchange);
  void HandlePlain(HttpExchange& exchange);

  // What every kind of call needs first; nothing when it was refused.
  std::optional<request::Request> Begin(HttpExchange& exchange,
                                        const version::Contract** contract,
                                        const version::ServingConfiguration&);
  void ServeStream(HttpExchange& exchange,
                   const request::Request& request,
                   bool include_usage);
  void ServeWhole(HttpExchange& exchange, const request::Request& request);
  void Refuse(HttpExchange& exchange, const request::Refusal& refusal);
  // The answer that says so; counts and logs the refusal.
  HttpEarlyAnswer RefusalAnswer(const HttpRequest& http,
                                const request::Refusal& refusal);
  void Finish(const request::Request& request,
              const request::RelayResult& result);
  // Counts and logs a refusal; `request_id` may be empty.
  void Count(const request::Refusal& refusal, const std::string& request_id);

  CallerFrontHooks hooks_;
  base::Duration default_deadline_;
  base::Metrics& metrics_;
  base::LatencyQuantiles& first_token_;
  base::LatencyQuantiles& answer_time_;
  base::Counter& delivered_;
  base::Counter& late_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CALLER_FRONT_H_
