#include "connection/caller_front.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "connection/caller_terms.h"
#include "connection/chat_body.h"

namespace lynxglade::connection {

namespace {

using request::Refusal;
using request::RefusalReason;

constexpr char kJson[] = "application/json";
constexpr char kEventStream[] = "text/event-stream";
constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kModelsPath[] = "/v1/models";
constexpr std::string_view kPlainRoot = "/services/";
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr std::size_t kMaxLoggedIdBytes = 128;

Refusal NotRun(RefusalReason reason, std::string message) {
  return {reason, base::Outcome::kNotRun, std::move(message), std::nullopt};
}

ChatAnswerHead HeadOf(const request::Request& request) {
  return {"chatcmpl-" + request.id.str(), request.model.str(),
          base::WallMillis() / kMillisPerSecond};
}

HttpHeaders AnswerHeaders(const request::Request& request) {
  return {{"X-Request-Id", request.id.str()}};
}

// For the Retry-After header: whole seconds, rounded up, at least 1.
std::string RetryAfterSeconds(base::Duration d) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(d).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

bool IsKnownCall(const HttpRequest& http) {
  return (http.path == kChatPath && http.method == "POST") ||
         (http.path == kModelsPath && http.method == "GET") ||
         http.path.starts_with(kPlainRoot);
}

Refusal NoSuchPath() {
  return NotRun(RefusalReason::kUnknownService,
                "no such path or method; see /v1/models");
}

// The caller's request id for logs, truncated because it may not have been
// validated yet.
std::string LoggedId(const HttpRequest& http) {
  return http.Header("x-request-id").substr(0, kMaxLoggedIdBytes);
}

// Splits "/services/<name>/<rest>" into the name and "/<rest>".
std::optional<std::pair<base::ServiceName, std::string>> SplitPlainPath(
    const std::string& path) {
  const std::string rest = path.substr(kPlainRoot.size());
  const auto slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  if (name.empty()) {
    return std::nullopt;
  }
  const std::string tail =
      slash == std::string::npos ? "/" : rest.substr(slash);
  return std::pair(base::ServiceName(name), tail);
}

}  // namespace

CallerFront::CallerFront(CallerFrontHooks hooks,
                         base::Duration default_deadline,
                         base::Metrics& metrics)
    : hooks_(std::move(hooks)),
      default_deadline_(default_deadline),
      metrics_(metrics),
      first_token_(metrics.GetLatency("lynxglade_first_token_seconds")),
      answer_time_(metrics.GetLatency("lynxglade_answer_seconds")),
      delivered_(
          metrics.GetCounter("lynxglade_answers_total", {{"in_time", "yes"}})),
      late_(
          metrics.GetCounter("lynxglade_answers_total", {{"in_time", "no"}})) {}

// --- Dispatch ---------------------------------------------------------------

void CallerFront::Handle(HttpExchange& exchange) {
  if (const auto refusal = hooks_.closed()) {
    Refuse(exchange, *refusal);
    return;
  }
  const HttpRequest& http = exchange.request();
  if (http.path == kChatPath && http.method == "POST") {
    HandleChat(exchange);
  } else if (http.path == kModelsPath && http.method == "GET") {
    HandleModels(exchange);
  } else if (http.path.starts_with(kPlainRoot)) {
    HandlePlain(exchange);
  } else {
    Refuse(exchange, NoSuchPath());
  }
}

std::optional<HttpEarlyAnswer> CallerFront::Screen(const HttpRequest& head) {
  if (const auto refusal = hooks_.closed()) {
    return RefusalAnswer(head, *refusal);
  }
  if (!IsKnownCall(head)) {
    return RefusalAnswer(head, NoSuchPath());
  }
  Refusal refusal;
  const auto configuration = hooks_.configuration();
  const bool good = ReadCallerTerms(head, hooks_.random, &refusal) &&
                    IdentifyContract(head, *configuration, &refusal) != nullptr;
  return good ? std::nullopt : std::optional(RefusalAnswer(head, refusal));
}

void CallerFront::HandleChat(HttpExchange& exchange) {
  const auto configuration = hooks_.configuration();
  const version::Contract* contract = nullptr;
  auto request = Begin(exchange, &contract, *configuration);
  if (!request) {
    return;
  }
  std::string reason;
  const auto call = ParseChatCall(exchange.request().body, &reason);
  if (!call) {
    Refuse(exchange, NotRun(RefusalReason::kMalformedBody, reason));
    return;
  }
  const auto* intent =
      version::ServingConfiguration::FindModelIntent(*contract, call->model);
  if (intent == nullptr) {
    const bool known = configuration->ServesModel(call->model);
    Refuse(exchange,
           known ? NotRun(RefusalReason::kNotEntitled,
                          "the contract does not include this model")
                 : NotRun(RefusalReason::kUnknownModel, "no such model"));
    return;
  }
  request->service = intent->service;
  request->model = call->model;
  request->stream = call->stream;
  request->prompt_tokens = call->prompt_tokens;
  request->max_output_tokens = call->max_output_tokens;
  request->content_hash = call->content_hash;
  request->prefix_hash = call->prefix_hash;
  if (exchange.request().Header("x-priority").empty()) {
    request->priority = request::Priority(intent->priority);
  }
  request->body = call->engine_body;
  if (request->stream) {
    ServeStream(exchange, *request, call->include_usage);
  } else {
    ServeWhole(exchange, *request);
  }
}

void CallerFront::HandleModels(HttpExchange& exchange) {
  const auto configuration = hooks_.configuration();
  Refusal refusal;
  const auto* contract =
      IdentifyContract(exchange.request(), *configuration, &refusal);
  if (contract == nullptr) {
    Refuse(exchange, refusal);
    return;
  }
  auto models = nlohmann::json::array();
  for (const version::Intent& intent : contract->intents) {
    if (!intent.model.empty()) {
      models.push_back({{"id", intent.model.str()},
                        {"object", "model"},
                        {"owned_by", intent.service.str()}});
    }
  }
  const nlohmann::json body = {{"object", "list"}, {"data", models}};
  exchange.Send(200, kJson, {}, body.dump());
}

void CallerFront::HandlePlain(HttpExchange& exchange) {
  const auto configuration = hooks_.configuration();
  const version::Contract* contract = nullptr;
  auto request = Begin(exchange, &contract, *configuration);
  if (!request) {
    return;
  }
  const HttpRequest& http = exchange.request();
  const auto parts = SplitPlainPath(http.path);
  const auto* service =
      parts ? configuration->FindService(parts->first) : nullptr;
  if (service == nullptr || service->engines) {
    Refuse(exchange,
           NotRun(RefusalReason::kUnknownService, "no such plain service"));
    return;
  }
  if (version::ServingConfiguration::FindPlainIntent(
          *contract, service->name) == nullptr) {
    Refuse(exchange, NotRun(RefusalReason::kNotEntitled,
                            "the contract does not include this service"));
    return;
  }
  request->service = service->name;
  request->method = http.method;
  request->path = parts->second;
  if (!http.query_string.empty()) {
    request->path += "?" + http.query_string;
  }
  request->content_type = http.Header("content-type");
  request->body = http.body;
  request->content_hash =
      base::Hash64(request->method + " " + request->path + "\n" + request->body,
                   base::Hash64(request->service.str()));
  ServeWhole(exchange, *request);
}

std::optional<request::Request> CallerFront::Begin(
    HttpExchange& exchange,
    const version::Contract** contract,
    const version::ServingConfiguration& configuration) {
  Refusal refusal;
  const auto terms =
      ReadCallerTerms(exchange.request(), hooks_.random, &refusal);
  if (!terms) {
    Refuse(exchange, refusal);
    return std::nullopt;
  }
  *contract = IdentifyContract(exchange.request(), configuration, &refusal);
  if (*contract == nullptr) {
    Refuse(exchange, refusal);
    return std::nullopt;
  }
  request::Request request;
  request.id = terms->id;
  request.contract = (*contract)->id;
  request.worth = terms->worth;
  request.priority = terms->priority.value_or(request.priority);
  request.arrived = hooks_.now();
  const base::Duration contract_deadline =
      (*contract)->default_deadline > base::Duration::zero()
          ? (*contract)->default_deadline
          : default_deadline_;
  request.deadline =
      request.arrived + terms->deadline.value_or(contract_deadline);
  request.non_idempotent = terms->non_idempotent;
  request.idempotency_key = terms->idempotency_key;
  return request;
}

// --- Serving ----------------------------------------------------------------

void CallerFront::ServeStream(HttpExchange& exchange,
                              const request::Request& request,
                              bool include_usage) {
  const ChatAnswerHead head = HeadOf(request);
  bool started = false;
  const auto start = [&] {
    started = true;
    return exchange.StartStream(200, kEventStream, AnswerHeaders(request));
  };
  request::CallerSink sink;
  sink.on_token = [&](const request::TokenChunk& chunk) {
    if (!started && !start()) {
      return false;
    }
    return exchange.Write(ChatTokenEvent(head, chunk));
  };
  sink.disconnected = [&exchange] { return exchange.caller_disconnected(); };
  const request::RelayResult result = hooks_.serve(request, sink);
  if (result.refusal && !started) {
    Refuse(exchange, *result.refusal);
    return;
  }
  if (!started) {
    start();
  }
  if (result.refusal) {
    exchange.Write(ChatErrorEvent(*result.refusal));
    exchange.Abort();
    Count(*result.refusal, request.id.str());
    return;
  }
  if (result.replayed) {
    exchange.Write(ChatTokenEvent(head, {result.answer.text, base::Tokens(0),
                                         result.answer.usage.completion}));
  }
  exchange.Write(ChatFinishEvent(head, result.answer.finish_reason));
  if (include_usage) {
    exchange.Write(ChatUsageEvent(head, result.answer.usage));
  }
  exchange.Write(ChatDoneEvent());
  Finish(request, result);
}

void CallerFront::ServeWhole(HttpExchange& exchange,
                             const request::Request& request) {
  request::CallerSink sink;
  sink.disconnected = [&exchange] { return exchange.caller_disconnected(); };
  const request::RelayResult result = hooks_.serve(request, sink);
  if (result.refusal) {
    Refuse(exchange, *result.refusal);
    return;
  }
  if (result.answer.plain) {
    const request::PlainAnswer& plain = *result.answer.plain;
    exchange.Send(plain.status, plain.content_type, AnswerHeaders(request),
                  plain.body);
  } else {
    exchange.Send(200, kJson, AnswerHeaders(request),
                  ChatWholeBody(HeadOf(request), result.answer));
  }
  Finish(request, result);
}

void CallerFront::Refuse(HttpExchange& exchange, const Refusal& refusal) {
  HttpEarlyAnswer answer = RefusalAnswer(exchange.request(), refusal);
  exchange.Send(answer.status, kJson, answer.headers, std::move(answer.body));
}

HttpEarlyAnswer CallerFront::RefusalAnswer(const HttpRequest& http,
                                           const Refusal& refusal) {
  HttpEarlyAnswer answer;
  answer.status = request::HttpStatus(refusal.reason);
  answer.body = RefusalBody(refusal);
  if (refusal.retry_after) {
    answer.headers["Retry-After"] = RetryAfterSeconds(*refusal.retry_after);
  }
  Count(refusal, LoggedId(http));
  return answer;
}

void CallerFront::Finish(const request::Request& request,
                         const request::RelayResult& result) {
  const base::Time now = hooks_.now();
  (now <= request.deadline ? delivered_ : late_).Add();
  answer_time_.Record(now - request.arrived);
  if (result.first_token) {
    first_token_.Record(*result.first_token);
  }
  base::Log(base::LogLevel::kDebug, "request_answered",
            {{"request", request.id.str()},
             {"contract", request.contract.str()},
             {"target", result.last_target.str()},
             {"attempts", result.attempts},
             {"tokens", result.delivered.value()},
             {"ms", base::ToMillis(now - request.arrived)}});
}

void CallerFront::Count(const Refusal& refusal, const std::string& request_id) {
  const std::string reason(request::ToString(refusal.reason));
  metrics_
      .GetCounter("lynxglade_refusals_total",
                  {{"reason", reason},
                   {"outcome", std::string(base::ToString(refusal.outcome))}})
      .Add();
  base::Log(base::LogLevel::kInfo, "request_refused",
            {{"request", request_id},
             {"reason", reason},
             {"outcome", base::ToString(refusal.outcome)},
             {"message", refusal.message}});
}

}  // namespace lynxglade::connection
