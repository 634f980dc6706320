#include "connection/caller_front.h"

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/secret_hash.h"
#include "connection/chat_body.h"

namespace lynxglade::connection {
namespace {

using nlohmann::json;

// Exchange that records what is written to it.
class RecordedExchange final : public HttpExchange {
 public:
  explicit RecordedExchange(HttpRequest request)
      : request_(std::move(request)) {}

  void Send(int status,
            const std::string&,
            const HttpHeaders& headers,
            std::string body) override {
    ++sends;
    status_sent = status;
    headers_sent = headers;
    written = std::move(body);
  }
  bool StartStream(int status,
                   const std::string&,
                   const HttpHeaders& headers) override {
    status_sent = status;
    headers_sent = headers;
    return true;
  }
  bool Write(std::string_view piece) override {
    written += piece;
    return true;
  }
  void Abort() override { aborted = true; }
  const HttpRequest& request() const override { return request_; }
  bool caller_disconnected() const override { return false; }

  int sends = 0;
  int status_sent = 0;
  HttpHeaders headers_sent;
  std::string written;
  bool aborted = false;

 private:
  const HttpRequest request_;
};

version::Configuration TestConfiguration() {
  version::Configuration out;
  out.revision = base::Revision(1);
  const base::ServiceName engines("llm");
  const base::ServiceName plain("portal");
  out.services[engines] = {.name = engines};
  out.services[plain] = {.name = plain, .engines = false};
  version::Contract open;
  open.id = base::ContractId("open");
  open.intents = {{.service = engines,
                   .model = base::ModelName("m1"),
                   .version = {},
                   .adapters = {},
                   .share = 0.5},
                  {.service = plain,
                   .model = {},
                   .version = {},
                   .adapters = {},
                   .share = 0.5}};
  out.contracts[open.id] = open;
  version::Contract keyed;
  keyed.id = base::ContractId("keyed");
  keyed.key_hashes = {base::SecretHash("sesame")};
  keyed.intents = {{.service = engines,
                    .model = base::ModelName("m2"),
                    .version = {},
                    .adapters = {},
                    .share = 0.5}};
  out.contracts[keyed.id] = keyed;
  return out;
}

class CallerFrontTest : public ::testing::Test {
 protected:
  CallerFrontTest() {
    CallerFrontHooks hooks;
    hooks.configuration = [this] { return configuration_; };
    hooks.serve = [this](const request::Request& request,
                         const request::CallerSink& sink) {
      served_.push_back(request);
      for (const std::string& token : tokens_) {
        if (sink.on_token) {
          sink.on_token({token, base::Tokens(0), base::Tokens(1)});
        }
      }
      return result_;
    };
    hooks.closed = [] { return std::nullopt; };
    hooks.now = [] { return base::Time(std::chrono::seconds(100)); };
    hooks.random = base::SeededRandom(7);
    front_ = std::make_unique<CallerFront>(hooks, std::chrono::seconds(60),
                                           metrics_);
  }

  RecordedExchange Call(const std::string& path,
                        const std::string& body,
                        HttpHeaders headers) {
    HttpRequest http;
    http.method = "POST";
    http.path = path;
    http.body = body;
    http.headers = std::move(headers);
    RecordedExchange exchange(http);
    front_->Handle(exchange);
    return exchange;
  }
  RecordedExchange Chat(const std::string& body, HttpHeaders headers) {
    return Call("/v1/chat/completions", body, std::move(headers));
  }

  static std::string CodeOf(const RecordedExchange& exchange) {
    return json::parse(exchange.written)["error"]["code"];
  }

  std::shared_ptr<const version::ServingConfiguration> configuration_ =
      std::make_shared<version::ServingConfiguration>(TestConfiguration());
  std::vector<request::Request> served_;
  std::vector<std::string> tokens_;
  request::RelayResult result_;
  base::Metrics metrics_;
  std::unique_ptr<CallerFront> front_;
};

const char kGoodBody[] =
    R"({"model":"m1","messages":[{"role":"user","content":"hello"}]})";
const char kStreamBody[] =
    R"({"model":"m1","stream":true,"messages":[{"role":"user","content":"x"}]})";

struct BadCall {
  std::string body;
  HttpHeaders headers;
  std::string code;
  int status;
};

TEST_F(CallerFrontTest, InvalidInputIsRejectedWithAReasonAndNotServed) {
  const HttpHeaders open = {{"x-contract", "open"}};
  const auto with = [&](const std::string& name, const std::string& value) {
    HttpHeaders headers = open;
    headers[name] = value;
    return headers;
  };
  const std::string deep(100'000, '[');
  const std::vector<BadCall> calls = {
      {"{", open, "malformed_body", 400},
      {deep, open, "malformed_body", 400},
      {"[1]", open, "malformed_body", 400},
      {R"({"model":"m1"})", open, "malformed_body", 400},
      {R"({"model":"m1","messages":[{"content":1}]})", open, "malformed_body",
       400},
      {R"({"model":"m1","n":2,"messages":[{"role":"u","content":"x"}]})", open,
       "malformed_body", 400},
      {R"({"model":"m1","max_tokens":0,"messages":[{"role":"u"}]})", open,
       "malformed_body", 400},
      {R"({"model":"none","messages":[{"role":"u"}]})", open, "unknown_model",
       404},
      {R"({"model":"m2","messages":[{"role":"u"}]})", open, "not_entitled",
       403},
      {kGoodBody, {{"x-contract", "nobody"}}, "unknown_contract", 403},
      {kGoodBody, {}, "unknown_contract", 403},
      {kGoodBody, {{"x-contract", "keyed"}}, "unauthenticated", 401},
      {kGoodBody, {{"authorization", "Bearer wrong"}}, "unauthenticated", 401},
      {kGoodBody, with("x-worth", "-1"), "bad_header", 400},
      {kGoodBody, with("x-worth", "nan"), "bad_header", 400},
      {kGoodBody, with("x-deadline-ms", "0"), "deadline_passed", 504},
      {kGoodBody, with("x-deadline-ms", "1e3"), "bad_header", 400},
      {kGoodBody, with("x-priority", "10"), "bad_header", 400},
      {kGoodBody, with("x-request-id", "a b"), "bad_header", 400},
      {kGoodBody, with("x-non-idempotent", "true"), "bad_header", 400},
  };
  for (const BadCall& call : calls) {
    const RecordedExchange exchange = Chat(call.body, call.headers);
    const json error = json::parse(exchange.written)["error"];
    EXPECT_EQ(error["code"], call.code) << call.body.substr(0, 80);
    EXPECT_EQ(error["outcome"], "not_run");
    EXPECT_EQ(exchange.status_sent, call.status) << call.code;
  }
  EXPECT_TRUE(served_.empty());
  EXPECT_EQ(metrics_.CounterValue(
                "lynxglade_refusals_total",
                {{"reason", "unknown_model"}, {"outcome", "not_run"}}),
            1u);
}

TEST_F(CallerFrontTest, KeyIdentifiesTheContractAndIsNeverExposed) {
  const std::string body =
      R"({"model":"m2","messages":[{"role":"u","content":"x"}]})";
  Chat(body, {{"authorization", "Bearer sesame"}});
  ASSERT_EQ(served_.size(), 1u);
  EXPECT_EQ(served_[0].contract.str(), "keyed");

  const RecordedExchange other = Chat(
      body, {{"authorization", "Bearer sesame"}, {"x-contract", "nobody"}});
  EXPECT_EQ(CodeOf(other), "unauthenticated");
  EXPECT_EQ(other.written.find("sesame"), std::string::npos);
}

TEST_F(CallerFrontTest, TargetMessagesGoToTheCallerButNotToTheLog) {
  base::InitLog(base::LogLevel::kDebug, "i");
  testing::internal::CaptureStderr();
  result_.refusal = request::Refusal{request::RefusalReason::kTargetRejected,
                                     base::Outcome::kNotRun, "rejected",
                                     std::nullopt, "its prompt"};
  const RecordedExchange exchange =
      Chat(R"({"model":"m1","messages":[{"role":"user",
               "content":"its prompt"}]})",
           {{"x-contract", "open"}});
  const std::string log = testing::internal::GetCapturedStderr();
  EXPECT_NE(exchange.written.find("rejected: its prompt"), std::string::npos);
  EXPECT_NE(log.find("request_refused"), std::string::npos) << log;
  EXPECT_EQ(log.find("its prompt"), std::string::npos) << log;
}

TEST_F(CallerFrontTest, CompleteAnswerHasTextUsageAndId) {
  result_.answer.text = "ab";
  result_.answer.finish_reason = "stop";
  result_.answer.usage = {base::Tokens(3), base::Tokens(2), base::Tokens(0)};
  const RecordedExchange exchange =
      Chat(kGoodBody, {{"x-contract", "open"}, {"x-request-id", "r1"}});
  const json answer = json::parse(exchange.written);
  EXPECT_EQ(exchange.status_sent, 200);
  EXPECT_EQ(answer["choices"][0]["message"]["content"], "ab");
  EXPECT_EQ(answer["usage"]["total_tokens"], 5);
  EXPECT_EQ(exchange.headers_sent.at("X-Request-Id"), "r1");
}

TEST_F(CallerFrontTest, StreamEndsWithDoneAndHasUsageOnlyOnRequest) {
  tokens_ = {"a", "b"};
  result_.answer.finish_reason = "stop";
  const RecordedExchange exchange = Chat(kStreamBody, {{"x-contract", "open"}});
  EXPECT_TRUE(exchange.written.ends_with("data: [DONE]\n\n"));
  EXPECT_EQ(exchange.written.find("usage"), std::string::npos);
  EXPECT_NE(exchange.written.find("\"token_count\":1"), std::string::npos);
  EXPECT_FALSE(exchange.aborted);
}

TEST_F(CallerFrontTest, FailureDuringAStreamAbortsIt) {
  tokens_ = {"a"};
  result_.refusal = request::Refusal{request::RefusalReason::kAttemptsExhausted,
                                     base::Outcome::kRan, "gone", std::nullopt};
  const RecordedExchange exchange = Chat(kStreamBody, {{"x-contract", "open"}});
  EXPECT_NE(exchange.written.find("\"outcome\":\"ran\""), std::string::npos);
  EXPECT_EQ(exchange.written.find("[DONE]"), std::string::npos);
  EXPECT_TRUE(exchange.aborted);
}

TEST_F(CallerFrontTest, RefusalBeforeTheFirstTokenKeepsItsStatus) {
  result_.refusal = request::Refusal{request::RefusalReason::kQueueFull,
                                     base::Outcome::kNotRun, "full",
                                     std::chrono::milliseconds(1500)};
  const RecordedExchange exchange = Chat(kStreamBody, {{"x-contract", "open"}});
  EXPECT_EQ(exchange.status_sent, 503);
  EXPECT_EQ(exchange.headers_sent.at("Retry-After"), "2");
  EXPECT_EQ(json::parse(exchange.written)["error"]["retry_after_ms"], 1500);
}

TEST_F(CallerFrontTest, PlainServiceGetsPathAndBody) {
  result_.answer.plain =
      request::PlainAnswer{201, "application/json", "{\"ok\":1}"};
  const RecordedExchange exchange =
      Call("/services/portal/receipts/7", "{}", {{"x-contract", "open"}});
  EXPECT_EQ(exchange.status_sent, 201);
  ASSERT_EQ(served_.size(), 1u);
  EXPECT_EQ(served_[0].path, "/receipts/7");
  EXPECT_TRUE(served_[0].model.empty());
  EXPECT_EQ(CodeOf(Call("/services/llm/x", "", {{"x-contract", "open"}})),
            "unknown_service");
}

TEST_F(CallerFrontTest, ContentHashDoesNotDependOnCallerOrStreaming) {
  Chat(kGoodBody, {{"x-contract", "open"}, {"x-request-id", "r1"}});
  Chat(R"({"stream":true,"user":"u","messages":[{"content":"hello",
        "role":"user"}],"model":"m1"})",
       {{"x-contract", "open"}, {"x-request-id", "r2"}});
  Chat(R"({"model":"m1","messages":[{"role":"user","content":"other"}]})",
       {{"x-contract", "open"}});
  ASSERT_EQ(served_.size(), 3u);
  EXPECT_EQ(served_[0].content_hash, served_[1].content_hash);
  EXPECT_NE(served_[0].content_hash, served_[2].content_hash);
}

RC_GTEST_PROP(ChatBodyTest, AnyBytesAreParsedOrRefused, (std::string bytes)) {
  std::string reason;
  const auto call = ParseChatCall(bytes, &reason);
  RC_ASSERT(call.has_value() || !reason.empty());
}

}  // namespace
}  // namespace lynxglade::connection
