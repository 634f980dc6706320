// HTTP front end for callers: chat completions, model list and plain services.
//
// Turns an HTTP request into a request::Request, passes it to the `serve` hook
// and writes the answer or the refusal. Each refusal is counted by reason and
// logged.
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

// All hooks must be thread-safe.
struct CallerFrontHooks {
  std::function<std::shared_ptr<const version::ServingConfiguration>()>
      configuration;
  // Serves an admitted request; blocks.
  std::function<request::RelayResult(const request::Request&,
                                     const request::CallerSink&)>
      serve;
  // Returns the refusal to send while no requests are accepted (stopping, not
  // ready), else nullopt.
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

  // For HttpServerOptions::screen: rejects a request with an invalid path,
  // invalid headers or an unknown caller before its body is read.
  std::optional<HttpEarlyAnswer> Screen(const HttpRequest& head);

 private:
  void HandleChat(HttpExchange& exchange);
  void HandleModels(HttpExchange& exchange);
  void HandlePlain(HttpExchange& exchange);

  // Builds the part of a request that all calls share. Returns nullopt if the
  // call was rejected and answered.
  std::optional<request::Request> Begin(HttpExchange& exchange,
                                        const version::Contract** contract,
                                        const version::ServingConfiguration&);
  void ServeStream(HttpExchange& exchange,
                   const request::Request& request,
                   bool include_usage);
  void ServeWhole(HttpExchange& exchange, const request::Request& request);
  void Refuse(HttpExchange& exchange, const request::Refusal& refusal);
  // Builds the answer for a refusal; also counts and logs it.
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
