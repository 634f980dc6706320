// Secrets of callers and operators appear in no log, metric or response to
// others, including at log level debug and during failures.
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <httplib.h>

#include "base/secret_hash.h"
#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

constexpr char kCallerKey[] = "canary-caller-key";
constexpr char kWrongKey[] = "canary-wrong-key";
constexpr char kReaderKey[] = "canary-reader-key";
constexpr char kBasic[] = "canary-basic";
constexpr char kOnceKey[] = "canary-idempotency-key";
constexpr char kPrompt[] = "canary-prompt";
constexpr char kBadBody[] = "canary-malformed-body";
constexpr char kQuery[] = "canary-query";
constexpr char kBootstrap[] = "test-operator-key";

class SecretsTest : public testing::Test {
 protected:
  SecretsTest()
      : deployment_([] {
          DeploymentOptions options;
          options.daemon_flags = {"--log-level", "debug"};
          return options;
        }()) {}

  void SetUp() override {
    deployment_.Start(1);
    const json intent = {{"service", Deployment::kEngineService},
                         {"model", "model-a"},
                         {"version", "v1"},
                         {"share", 0.1},
                         {"priority", 5}};
    json changes = json::array();
    for (const char* contract :
         {Deployment::kContract, Deployment::kOtherContract}) {
      changes.push_back({{"remove_intent",
                          {{"contract", contract},
                           {"service", Deployment::kEngineService},
                           {"model", "model-a"}}}});
    }
    changes.push_back({{"upsert_contract",
                        {{"id", "sealed"},
                         {"intents", {intent}},
                         {"key_hashes", {base::SecretHash(kCallerKey)}}}}});
    changes.push_back({{"upsert_operator",
                        {{"id", "reader"},
                         {"role", "read_only"},
                         {"key_hashes", {base::SecretHash(kReaderKey)}}}}});
    ASSERT_TRUE(deployment_.Change(0, changes));
  }

  // Returns status line, headers and body of the response as one text.
  static std::string Ask(int port,
                         const std::string& method,
                         const std::string& path,
                         httplib::Headers headers,
                         const std::string& body) {
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(std::chrono::seconds(10));
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = std::move(headers);
    request.body = body;
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client.send(request, response, error)) {
      return {};
    }
    std::string text = std::to_string(response.status) + "\n";
    for (const auto& [name, value] : response.headers) {
      text += name + ": " + value + "\n";
    }
    return text + response.body;
  }

  std::string AskCaller(const std::string& key, const std::string& body) {
    return Ask(deployment_.caller_port(0), "POST", "/v1/chat/completions",
               {{"Authorization", key}, {"Content-Type", "application/json"}},
               body);
  }
  std::string AskAdmin(const std::string& path, const std::string& key) {
    return Ask(deployment_.admin_port(0), "GET", path,
               {{"Authorization", "Bearer " + key}}, "");
  }

  static std::string Chat(const char* model = "model-a") {
    return json{{"model", model},
                {"messages", {{{"role", "user"}, {"content", kPrompt}}}},
                {"max_tokens", 4}}
        .dump();
  }

  // Responses to the calls below, by name of the call.
  std::map<std::string, std::string> answers_;
  Deployment deployment_;
};

TEST_F(SecretsTest, StandInNoLogNoMetricAndNoAnswerToOthers) {
  const std::string good = std::string("Bearer ") + kCallerKey;
  ASSERT_TRUE(AskCaller(good, Chat()).starts_with("200"));
  answers_["wrong key"] = AskCaller(std::string("Bearer ") + kWrongKey, Chat());
  answers_["no bearer"] = AskCaller(std::string("Basic ") + kBasic, Chat());
  answers_["unknown model"] = AskCaller(good, Chat("model-z"));
  answers_["malformed"] = AskCaller(good, std::string("{\"") + kBadBody);
  answers_["unknown path"] =
      Ask(deployment_.caller_port(0), "POST",
          std::string("/services/none/x?token=") + kQuery,
          {{"Authorization", good}}, kPrompt);
  EXPECT_TRUE(answers_["wrong key"].starts_with("401"));
  EXPECT_TRUE(answers_["malformed"].starts_with("400"));
  // A claimed request, a request that each engine interrupts, and a crash.
  answers_["claimed"] =
      Ask(deployment_.caller_port(0), "POST", "/v1/chat/completions",
          {{"Authorization", good},
           {"X-Non-Idempotent", "true"},
           {"Idempotency-Key", kOnceKey}},
          Chat());
  EXPECT_TRUE(answers_["claimed"].starts_with("200")) << answers_["claimed"];
  deployment_.FaultEngines({{"crash", {{"down_ms", 300}}}});
  AskCaller(good, Chat());
  for (const char* path :
       {"/v1/admin/config", "/v1/admin/config/status", "/v1/admin/contracts",
        "/v1/admin/audit", "/v1/admin/plans", "/v1/admin/instances",
        "/v1/admin/quarantine", "/v1/admin/fleet"}) {
    answers_[path] = AskAdmin(path, kReaderKey);
    answers_[std::string("wrong ") + path] = AskAdmin(path, kWrongKey);
  }
  EXPECT_TRUE(answers_["/v1/admin/contracts"].starts_with("200"));
  EXPECT_NE(answers_["/v1/admin/contracts"].find("sealed"), std::string::npos);
  answers_["metrics"] = AskAdmin("/metrics", "");
  answers_["log"] = deployment_.instance(0).Log();
  answers_["output"] = deployment_.instance(0).Output();
  EXPECT_NE(answers_["log"].find("request_answered"), std::string::npos)
      << "debug lines are there to be searched";

  const std::vector<std::string> secrets = {kCallerKey,
                                            kWrongKey,
                                            kReaderKey,
                                            kBasic,
                                            kOnceKey,
                                            kPrompt,
                                            kBadBody,
                                            kQuery,
                                            kBootstrap,
                                            base::SecretHash(kCallerKey),
                                            base::SecretHash(kReaderKey)};
  for (const auto& [where, text] : answers_) {
    for (const std::string& secret : secrets) {
      EXPECT_EQ(text.find(secret), std::string::npos)
          << secret << " in " << where << ": " << text;
    }
  }
}

}  // namespace
}  // namespace lynxglade::system_test
