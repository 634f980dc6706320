#include "fakes/details/engine_routes.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "base/random.h"
#include "fakes/chat_wire.h"
#include "fakes/details/linked_ports.h"

namespace lynxglade::fakes {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr base::Duration kPollInterval = std::chrono::milliseconds(100);
constexpr base::Duration kHoldPollInterval = std::chrono::milliseconds(20);

// The fault that ends a stream, and the token index at which it occurs.
struct StreamFault {
  enum class Kind { kNone, kTruncate, kStall, kReset };
  Kind kind = Kind::kNone;
  std::int64_t after = 0;
};

// Blocks while `held` returns true and the peer is connected.
template <typename Held>
void HoldWhile(const Held& held) {
  while (held() && OwnConnectionAlive()) {
    std::this_thread::sleep_for(kHoldPollInterval);
  }
}

// One in-flight response.
struct Stream {
  EngineHost* host;
  SessionPtr session;
  ChatRequest chat;
  ChatWriter writer;
  StreamFault fault;
  std::int64_t sent;
  bool ended = false;
};
using StreamPtr = std::shared_ptr<Stream>;

StreamFault TakeStreamFault(EngineCore& core, const ChatRequest& chat) {
  const auto at = [&](const char* name) {
    return chat.resume_from + static_cast<std::int64_t>(core.FaultValue(name));
  };
  if (core.TakeFault("truncate")) {
    return {StreamFault::Kind::kTruncate, at("truncate_after")};
  }
  if (core.TakeFault("stall")) {
    return {StreamFault::Kind::kStall, at("stall_after")};
  }
  if (core.TakeFault("reset_after")) {
    return {StreamFault::Kind::kReset, chat.resume_from + 1};
  }
  return {};
}

ChatUsage UsageOf(const Stream& stream) {
  ChatUsage usage;
  usage.prompt_tokens = stream.chat.prompt_tokens.value();
  usage.completion_tokens = stream.chat.max_tokens;
  usage.cached_tokens = stream.session->cached.value();
  if (stream.chat.exports_kv) {
    usage.kv_transfer_params = stream.host->core().ExportKv(stream.chat);
  }
  return usage;
}

// Breaks the connection as the fault requires; returns false, which ends the
// stream.
bool BreakStream(Stream& stream) {
  EngineCore& core = stream.host->core();
  if (stream.fault.kind == StreamFault::Kind::kStall) {
    HoldWhile([] { return true; });
  }
  if (stream.fault.kind == StreamFault::Kind::kReset) {
    ResetOwnConnection();
  }
  core.End(*stream.session, RunState::kCancelled);
  return false;
}

// Writes the available tokens; called repeatedly until it returns false or the
// sink is done.
bool Continue(Stream& stream, httplib::DataSink& sink) {
  EngineCore& core = stream.host->core();
  if (OwnLinkCut()) {
    std::this_thread::sleep_for(kHoldPollInterval);
    return OwnConnectionAlive();
  }
  std::int64_t tokens = core.Await(*stream.session, stream.sent, kPollInterval);
  const bool broken = stream.fault.kind != StreamFault::Kind::kNone &&
                      tokens >= stream.fault.after;
  if (broken) {
    tokens = stream.fault.after;
  }
  const bool writes = tokens > stream.sent;
  if (writes) {
    const std::string event =
        stream.writer.Content(stream.chat.prompt_hash, stream.sent, tokens);
    stream.sent = tokens;
    if (!sink.write(event.data(), event.size())) {
      return false;
    }
  }
  if (broken) {
    return BreakStream(stream);
  }
  RunState end_state = RunState::kStarted;
  if (!core.Ended(*stream.session, &end_state)) {
    // A write detects a disconnected peer; waiting without a write does not.
    return writes || OwnConnectionAlive();
  }
  if (end_state == RunState::kCrashed) {
    ResetOwnConnection();
  }
  if (end_state != RunState::kFinished) {
    return false;
  }
  if (stream.sent == stream.chat.max_tokens) {
    const std::string end = stream.writer.End(UsageOf(stream));
    sink.write(end.data(), end.size());
    sink.done();
    stream.ended = true;
  }
  return true;
}

void AnswerStream(const StreamPtr& stream, Response& res) {
  res.set_header("Cache-Control", "no-cache");
  const auto go_on = [stream](std::size_t, httplib::DataSink& sink) {
    return Continue(*stream, sink);
  };
  // Cancels the run if the connection closed before its end.
  const auto cancel = [stream](bool) {
    stream->host->core().End(*stream->session, RunState::kCancelled);
  };
  if (!stream->host->core().TakeFault("unframed")) {
    res.set_chunked_content_provider("text/event-stream", go_on, cancel);
    return;
  }
  // Neither a length nor chunks: the end of the connection ends the stream.
  res.set_header("Connection", "close");
  res.set_content_provider(
      "text/event-stream",
      [stream, go_on](std::size_t offset, httplib::DataSink& sink) {
        return go_on(offset, sink) && !stream->ended;
      },
      cancel);
}

// Serves a response without streaming; the same faults apply.
void AnswerWhole(Stream& stream, Response& res) {
  EngineCore& core = stream.host->core();
  RunState end_state = RunState::kStarted;
  while (!core.Ended(*stream.session, &end_state)) {
    const std::int64_t tokens =
        core.Await(*stream.session, stream.chat.max_tokens, kPollInterval);
    if (stream.fault.kind != StreamFault::Kind::kNone &&
        tokens >= stream.fault.after) {
      BreakStream(stream);
    } else if (!OwnConnectionAlive()) {
      core.End(*stream.session, RunState::kCancelled);
    }
  }
  if (end_state != RunState::kFinished) {
    ResetOwnConnection();
    return;
  }
  const std::string text = AnswerText(
      stream.chat.prompt_hash, stream.chat.resume_from, stream.chat.max_tokens);
  AnswerJson(res, 200, stream.writer.ResponseJson(text, UsageOf(stream)));
}

void ReadHeaders(const Request& req, ChatRequest* chat) {
  chat->request_id = req.get_header_value("X-Request-Id");
  chat->attempt_id = req.get_header_value("X-Attempt-Id");
  chat->idempotency_key = req.get_header_value("X-Idempotency-Key");
  if (chat->attempt_id.empty()) {
    static const base::RandomSource random = base::SystemRandom();
    chat->attempt_id = base::RandomHexId(random);
  }
}

void Chat(EngineHost& host, const Request& req, Response& res) {
  EngineCore& core = host.core();
  if (core.TakeFault("reset_before")) {
    ResetOwnConnection();
    return;
  }
  res.set_header("X-Engine-Load", core.LoadJson().dump());
  std::string why;
  std::optional<ChatRequest> chat = ParseChatBody(req.body, &why);
  if (!chat) {
    AnswerJson(res, 400, NotRunError("bad_request", why));
    return;
  }
  ReadHeaders(req, &*chat);
  EngineRefusal refusal;
  const SessionPtr session = core.Begin(*chat, &refusal);
  const std::string attempt = core.TakeFault("crossed")
                                  ? chat->attempt_id + "-other"
                                  : chat->attempt_id;
  res.set_header("X-Attempt-Id", attempt);
  if (!session) {
    AnswerJson(res, refusal.status,
               NotRunError(refusal.code, "engine " + host.id()));
    return;
  }
  if (core.TakeFault("never_answer")) {
    HoldWhile([] { return true; });
    core.End(*session, RunState::kCancelled);
    ResetOwnConnection();
    return;
  }
  const std::int64_t sent = chat->resume_from;
  const StreamFault fault = TakeStreamFault(core, *chat);
  const bool whole = !chat->stream;
  auto stream = std::make_shared<Stream>(
      Stream{&host, session, std::move(*chat),
             ChatWriter(attempt, core.Model()), fault, sent});
  if (whole) {
    AnswerWhole(*stream, res);
  } else {
    AnswerStream(stream, res);
  }
}

void Cancel(EngineHost& host, const Request& req, Response& res) {
  const json body = ParseObject(req.body);
  if (body.is_discarded() || !body.value("attempt_id", json()).is_string()) {
    AnswerJson(res, 400, NotRunError("bad_request", "attempt_id is missing"));
    return;
  }
  const bool found = host.core().Cancel(body["attempt_id"]);
  AnswerJson(res, 200, {{"cancelled", found}});
}

std::optional<EngineOrder> ParseOrder(const json& body) {
  const json target = body.value("target", json());
  if (!target.is_object()) {
    return std::nullopt;
  }
  EngineOrder order;
  const bool known =
      request::ParseEngineRole(target.value("role", ""), &order.target.role);
  if (!known || order.target.role == request::EngineRole::kPlain) {
    return std::nullopt;
  }
  order.order_id = body.value("order_id", "");
  order.fence = base::FencingToken(body.value("fence", std::int64_t{0}));
  order.generation =
      base::Generation(body.value("generation", std::int64_t{0}));
  order.holder = body.value("holder", "");
  order.draining = target.value("draining", false);
  order.target.model = target.value("model", "");
  order.target.version = target.value("version", "");
  order.target.adapters = target.value("adapters", std::vector<std::string>());
  return order;
}

std::optional<EngineOrder> ReadOrder(const std::string& text) {
  const json body = ParseObject(text);
  if (body.is_discarded()) {
    return std::nullopt;
  }
  try {
    return ParseOrder(body);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void Order(EngineHost& host, const Request& req, Response& res) {
  EngineCore& core = host.core();
  const std::optional<EngineOrder> order = ReadOrder(req.body);
  if (!order) {
    AnswerJson(res, 400, NotRunError("bad_request", "not an order"));
    return;
  }
  const double delay_ms = core.FaultValue("order_delay_ms");
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(delay_ms));
  const OrderVerdict verdict = core.Order(*order);
  if (core.TakeFault("order_no_answer")) {
    HoldWhile([] { return true; });
  }
  if (core.TakeFault("order_lost_answer")) {
    ResetOwnConnection();
    return;
  }
  if (!IsAccepted(verdict)) {
    AnswerJson(res, 409,
               NotRunError(std::string(ToString(verdict)), "nothing changed"));
    return;
  }
  AnswerJson(res, verdict == OrderVerdict::kAccepted ? 200 : 202,
             {{"accepted", true}, {"state", core.StateJson()}});
}

void AddWork(httplib::Server& server, EngineHost& host) {
  server.Post(
      "/v1/chat/completions",
      [&host](const Request& req, Response& res) { Chat(host, req, res); });
  server.Post("/v1/cancel", [&host](const Request& req, Response& res) {
    Cancel(host, req, res);
  });
  server.Post("/v1/orders", [&host](const Request& req, Response& res) {
    Order(host, req, res);
  });
  server.Get("/v1/load", [&host](const Request&, Response& res) {
    AnswerJson(res, 200, host.core().LoadJson());
  });
  server.Get("/v1/state", [&host](const Request&, Response& res) {
    AnswerJson(res, 200, host.core().StateJson());
  });
  server.Get("/v1/cache/events", [&host](const Request& req, Response& res) {
    const std::string since = req.get_param_value("since");
    AnswerJson(
        res, 200,
        host.core().EventsJson(std::strtoll(since.c_str(), nullptr, 10)));
  });
}

void AddControls(httplib::Server& server, EngineHost& host) {
  server.Post("/fault", [&host](const Request& req, Response& res) {
    const json body = ParseObject(req.body);
    if (body.is_discarded()) {
      AnswerJson(res, 400, NotRunError("bad_request", "not a JSON object"));
      return;
    }
    host.ApplyFaults(body);
    AnswerJson(res, 200, host.core().FaultsJson());
  });
  server.Get("/fault", [&host](const Request&, Response& res) {
    AnswerJson(res, 200, host.core().FaultsJson());
  });
  server.Get("/journal", [&host](const Request&, Response& res) {
    AnswerJson(res, 200, host.JournalJson());
  });
  server.Get("/journal/runs", [&host](const Request&, Response& res) {
    AnswerJson(res, 200, {{"runs", host.core().RunsJson()}});
  });
  server.Get("/journal/orders", [&host](const Request&, Response& res) {
    AnswerJson(res, 200, {{"orders", host.core().OrdersJson()}});
  });
}

}  // namespace

void AddEngineRoutes(httplib::Server& server, EngineHost& host) {
  AddWork(server, host);
  AddControls(server, host);
}

}  // namespace lynxglade::fakes
