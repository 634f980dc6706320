#include "main/ctl_commands.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "main/ctl_table.h"

namespace lynxglade::ctl {
namespace {

struct RunRecord {
  CtlResult result;
  std::vector<CtlRequest> sent;
};

RunRecord RunCtl(std::vector<std::string> words,
                 std::optional<CtlAnswer> answer = CtlAnswer{200, "{}"},
                 bool json = false,
                 const std::string& file = "") {
  CtlOptions options;
  options.words = std::move(words);
  options.json = json;
  options.file = file;
  RunRecord run;
  run.result = RunCommand(
      options,
      [&](const CtlRequest& request) {
        run.sent.push_back(request);
        return answer;
      },
      [](const std::string& name) {
        return name == "there" ? std::optional<std::string>("{\"changes\":[]}")
                               : std::nullopt;
      });
  return run;
}

TEST(CtlCommandsTest, SubcommandsMapToApiCalls) {
  const auto call = [](std::vector<std::string> words) {
    const RunRecord run = RunCtl(std::move(words));
    return run.sent.size() == 1 ? run.sent[0].method + " " + run.sent[0].path +
                                      " " + run.sent[0].body
                                : run.result.err;
  };
  EXPECT_EQ(call({"confirm", "abc"}), "POST /v1/admin/plans/abc/confirm ");
  EXPECT_EQ(call({"config", "rollback", "7"}),
            "POST /v1/admin/plans {\"rollback_to\":7}");
  EXPECT_EQ(call({"quarantine", "lift", "0f"}),
            "DELETE /v1/admin/quarantine/0f ");
  EXPECT_EQ(call({"drain", "engine-1"}),
            "POST /v1/admin/targets/engine-1/drain {}");
  EXPECT_EQ(call({"audit"}), "GET /v1/admin/audit?limit=50 ");
  EXPECT_EQ(RunCtl({"plan"}, CtlAnswer{201, "{}"}, false, "there").sent[0].body,
            "{\"changes\":[]}");
}

TEST(CtlCommandsTest, InvalidUsageSendsNoRequest) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"none"},
      {"config"},
      {"confirm"},
      {"confirm", "a", "b"},
      {"confirm", "../fleet"},
      {"config", "rollback", "x"},
      {"drain", "a?b"},
      {"plan"},
      {"plans", "extra"}};
  for (const auto& words : wrong) {
    const RunRecord run = RunCtl(words);
    EXPECT_EQ(run.result.exit_code, kExitUsage);
    EXPECT_TRUE(run.sent.empty());
    EXPECT_FALSE(run.result.err.empty());
  }
  EXPECT_EQ(RunCtl({"plan"}, CtlAnswer{}, false, "gone").result.exit_code,
            kExitUsage);
}

TEST(CtlCommandsTest, ExitCodesDistinguishFailures) {
  const auto code = [](std::optional<CtlAnswer> answer) {
    return RunCtl({"check"}, std::move(answer)).result.exit_code;
  };
  EXPECT_EQ(code(CtlAnswer{200, "{}"}), kExitOk);
  EXPECT_EQ(code(CtlAnswer{409, R"({"error":{"code":"conflict"}})"}),
            kExitRejected);
  EXPECT_EQ(code(CtlAnswer{403, R"({"error":{}})"}), kExitRejected);
  EXPECT_EQ(code(CtlAnswer{503, R"({"error":{}})"}), kExitUnreachable);
  EXPECT_EQ(code(CtlAnswer{200, "<html>"}), kExitUnreachable);
  EXPECT_EQ(code(std::nullopt), kExitUnreachable);
  EXPECT_EQ(
      code(CtlAnswer{200, R"({"services":[{"name":"kv","reachable":false}]})"}),
      kExitUnreachable);
}

TEST(CtlCommandsTest, PrintsTablesOrJson) {
  const CtlAnswer answer{
      200,
      R"({"plans":[{"id":"abc","base":4,"can_confirm":true,"changes":2}]})"};
  const std::string table = RunCtl({"plans"}, answer).result.out;
  EXPECT_NE(table.find("abc   4     yes"), std::string::npos) << table;
  const std::string json = RunCtl({"plans"}, answer, true).result.out;
  EXPECT_EQ(json.front(), '{');
  EXPECT_NE(json.find("\"can_confirm\": true"), std::string::npos);
}

// Answers with missing members or members of other types must not throw.
TEST(CtlCommandsTest, PrintsAnswersWithUnexpectedMembers) {
  const std::vector<std::vector<std::string>> commands = {
      {"plans"},     {"show", "x"},          {"config", "show"},
      {"contracts"}, {"config", "status"},   {"audit"},
      {"fleet"},     {"quarantine", "list"}, {"instances"},
      {"check"},     {"drain", "x"}};
  for (const char* body :
       {"{}", R"({"plans":7,"contracts":"x","engines":[1],"shares":[null]})",
        R"({"contracts":{"a":{"intents":5}},"operators":[],"audit":[{}]})"}) {
    for (const auto& words : commands) {
      EXPECT_EQ(RunCtl(words, CtlAnswer{200, body}).result.exit_code, kExitOk);
    }
  }
}

TEST(CtlTableTest, ReplacesControlCharacters) {
  EXPECT_EQ(FormatTable({"A", "B"}, {{"x\x1b[2J", "y"}}),
            "A      B\nx?[2J  y\n");
}

}  // namespace
}  // namespace lynxglade::ctl
