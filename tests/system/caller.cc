#include "system/caller.h"

#include <algorithm>
#include <iterator>
#include <ostream>
#include <random>
#include <string_view>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "fakes/token_text.h"

namespace lynxglade::system_test {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReadinessPoll{50};
constexpr std::chrono::seconds kPatience{10};
constexpr int kOk = 200;
constexpr std::string_view kField = "data: ";

// A repeat with the same key gets a new id.
std::string NewId(const std::string& key) {
  static std::atomic<int> next{1};
  return (key.empty() ? "call" : key) + "." + std::to_string(next++);
}

httplib::Headers HeadersOf(const Call& call) {
  httplib::Headers headers = {
      {"X-Contract", call.contract},
      {"X-Request-Id", call.id},
      {"X-Deadline-Ms", std::to_string(call.deadline.count())},
      {"Content-Type", "application/json"}};
  if (!call.key.empty()) {
    headers.emplace("X-Non-Idempotent", "true");
    headers.emplace("Idempotency-Key", call.key);
  }
  return headers;
}

std::string BodyOf(const Call& call) {
  if (!call.plain_service.empty()) {
    return json{{"text", call.prompt}}.dump();
  }
  return json{{"model", "model-a"},
              {"messages", {{{"role", "user"}, {"content", call.prompt}}}},
              {"max_tokens", call.max_tokens},
              {"stream", call.stream}}
      .dump();
}

// The part of a response received so far.
struct Received {
  std::string pending;
  std::string text;
  bool finished = false;
  bool done = false;
  std::string code;
  std::string outcome;
};

void TakeError(const json& body, Received* out) {
  const json error = body.value("error", json::object());
  out->code = error.value("code", "");
  out->outcome = error.value("outcome", "");
}

void TakeChoice(const json& body, const char* part, Received* out) {
  const json choices = body.value("choices", json::array());
  if (choices.empty()) {
    return;
  }
  const json content = choices[0].value(part, json::object());
  out->text += content.is_object() ? content.value("content", "") : "";
  out->finished |= choices[0].value("finish_reason", json()).is_string();
}

void TakeEvent(const std::string& data, Received* out) {
  if (data == "[DONE]") {
    out->done = true;
    return;
  }
  const json body = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (body.contains("error")) {
    TakeError(body, out);
  } else if (body.is_object()) {
    TakeChoice(body, "delta", out);
  }
}

void TakeBytes(const char* data, std::size_t n, Received* out) {
  out->pending.append(data, n);
  for (std::size_t end = out->pending.find('\n'); end != std::string::npos;
       end = out->pending.find('\n')) {
    const std::string line = out->pending.substr(0, end);
    out->pending.erase(0, end + 1);
    if (line.starts_with(kField)) {
      TakeEvent(line.substr(kField.size()), out);
    }
  }
}

Verdict JudgeText(const Call& call, const Received& received) {
  const std::string right =
      fakes::AnswerText(fakes::HashPrompt(call.prompt), 0, call.max_tokens);
  if (received.text == right && received.finished && received.done &&
      received.code.empty()) {
    return Verdict::kWhole;
  }
  return right.starts_with(received.text) ? Verdict::kCut : Verdict::kWrong;
}

// Evaluates a response without streaming or an error response.
Verdict JudgeBody(const Call& call, int status, Received* received) {
  const json body = json::parse(received->pending, nullptr, false);
  if (status != kOk || !body.is_object()) {
    TakeError(body.is_object() ? body : json::object(), received);
    return status == kOk ? Verdict::kWrong : Verdict::kRefused;
  }
  if (!call.plain_service.empty()) {
    received->text = received->pending;
    return body.value("echo", "") == BodyOf(call) ? Verdict::kWhole
                                                  : Verdict::kWrong;
  }
  TakeChoice(body, "message", received);
  received->done = true;
  return JudgeText(call, *received);
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Reply& reply) {
  return out << reply.id << " verdict " << static_cast<int>(reply.verdict)
             << " status " << reply.status << " code " << reply.code
             << " outcome " << reply.outcome << " text '" << reply.text << "'";
}

Reply Send(int port, Call call) {
  call.id = call.id.empty() ? NewId(call.key) : call.id;
  httplib::Client client("127.0.0.1", port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(call.deadline + kPatience);
  httplib::Request request;
  request.method = "POST";
  request.path = call.plain_service.empty()
                     ? "/v1/chat/completions"
                     : "/services/" + call.plain_service + "/receipts";
  request.headers = HeadersOf(call);
  request.body = BodyOf(call);
  Received received;
  bool events = false;
  request.response_handler = [&](const httplib::Response& response) {
    events = response.get_header_value("Content-Type")
                 .starts_with("text/event-stream");
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t n, std::uint64_t,
                                 std::uint64_t) {
    if (!events) {
      received.pending.append(data, n);
      return true;
    }
    TakeBytes(data, n, &received);
    if (call.on_text) {
      call.on_text(received.text);
    }
    return true;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool ended = client.send(request, response, error);
  Reply reply;
  reply.id = call.id;
  reply.status = std::max(response.status, 0);
  if (events) {
    reply.verdict = JudgeText(call, received);
  } else if (ended) {
    reply.verdict = JudgeBody(call, reply.status, &received);
  } else {
    reply.verdict = received.pending.empty() ? Verdict::kLost : Verdict::kCut;
    received.code = httplib::to_string(error);
  }
  reply.text = std::move(received.text);
  reply.code = std::move(received.code);
  reply.outcome = std::move(received.outcome);
  return reply;
}

// --- Load -------------------------------------------------------------------

Load::Load(int callers, std::function<std::vector<Entry>()> entries, Make make)
    : entries_(std::move(entries)), make_(std::move(make)) {
  watcher_ = std::thread([this] { WatchReadiness(); });
  for (int i = 0; i < callers; ++i) {
    callers_.emplace_back([this, i] { CallOn(static_cast<unsigned>(i) + 1); });
  }
}

Load::~Load() {
  Stop();
}

std::vector<Reply> Load::Stop() {
  stopping_ = true;
  std::ranges::for_each(callers_, [](std::thread& it) { it.join(); });
  callers_.clear();
  watching_ = false;
  if (watcher_.joinable()) {
    watcher_.join();
  }
  return replies_;
}

void Load::WatchReadiness() {
  while (watching_) {
    std::vector<int> ready;
    for (const Entry& entry : entries_()) {
      httplib::Client client("127.0.0.1", entry.admin_port);
      client.set_connection_timeout(std::chrono::milliseconds(200));
      client.set_read_timeout(std::chrono::milliseconds(200));
      const httplib::Result answer = client.Get("/readyz");
      if (answer && answer->status == kOk) {
        ready.push_back(entry.port);
      }
    }
    {
      std::lock_guard lock(mutex_);
      ready_ = std::move(ready);
    }
    std::this_thread::sleep_for(kReadinessPoll);
  }
}

void Load::CallOn(unsigned seed) {
  std::mt19937 random(seed);
  while (!stopping_) {
    int port = 0;
    {
      std::lock_guard lock(mutex_);
      port = ready_.empty() ? 0 : ready_[random() % ready_.size()];
    }
    if (port == 0) {
      std::this_thread::sleep_for(kReadinessPoll);
      continue;
    }
    Reply reply = Send(port, make_(next_++));
    ++ended_;
    whole_ += reply.verdict == Verdict::kWhole ? 1 : 0;
    std::lock_guard lock(mutex_);
    replies_.push_back(std::move(reply));
  }
}

int Count(const std::vector<Reply>& replies, Verdict verdict) {
  return static_cast<int>(
      std::ranges::count(replies, verdict, &Reply::verdict));
}

}  // namespace lynxglade::system_test
