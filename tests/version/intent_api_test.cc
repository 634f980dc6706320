#include "version/intent_api.h"

#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "version/digest.h"
#include "version/instance.h"

namespace lynxglade::version {
namespace {

using nlohmann::json;

struct Fixture {
  Fixture() {
    EXPECT_EQ(Put("boot", Basics()), 200);
    EXPECT_EQ(Put("boot", json{{"changes",
                                {Operator("ana", "fleet", json::array()),
                                 Operator("leo", "contract", {"archive"}),
                                 Operator("eva", "read_only", json::array())}}}
                              .dump()),
              200);
  }

  // An operator whose key is its name.
  static json Operator(const std::string& id,
                       const std::string& role,
                       const json& contracts) {
    return {{"upsert_operator",
             {{"id", id},
              {"role", role},
              {"contracts", contracts},
              {"key_hashes", {Sha256Hex(id)}}}}};
  }

  connection::ApiAnswer Call(const std::string& method,
                             const std::string& path,
                             const std::string& key,
                             const std::string& body = "") {
    connection::ApiAnswer answer = api.Handle({method, path, {}, body, key});
    EXPECT_TRUE(json::accept(answer.body)) << answer.body;
    return answer;
  }
  // Creates and confirms a plan; returns the status of the last step.
  int Put(const std::string& key, const std::string& request) {
    const auto made = Call("POST", "/v1/admin/plans", key, request);
    if (made.status != 201) {
      return made.status;
    }
    const std::string id = json::parse(made.body).at("id");
    return Call("POST", "/v1/admin/plans/" + id + "/confirm", key).status;
  }

  Instances instances;
  OperatorAccess access{[this] { return instances.at(0).tracker.Get(); },
                        "boot"};
  base::Metrics metrics;
  IntentApi api{access,
                instances.at(0).plans,
                instances.at(0).store,
                instances.at(0).tracker,
                {[] { return base::Time{}; },
                 [] {
                   return std::vector<InstanceRevision>{
                       {base::InstanceId("i1"), base::Revision(1), "", {}}};
                 }},
                metrics};
};

TEST(IntentApiTest, OperatorKeyLimitsActionsAndVisibility) {
  Fixture f;
  const std::string config = "/v1/admin/config";
  EXPECT_EQ(f.Call("GET", config, "").status, 401);
  EXPECT_EQ(f.Call("GET", config, "boot").status, 401);
  EXPECT_EQ(f.Call("GET", config, "eva").status, 200);
  EXPECT_EQ(f.Put("eva", ShareOf("parish", 0.1)), 403);
  EXPECT_EQ(f.Put("leo", ShareOf("parish", 0.1)), 403);
  EXPECT_EQ(f.Put("leo", ShareOf("archive", 0.9)), 403);
  EXPECT_EQ(f.Put("leo", ShareOf("archive", 0.4)), 200);
  EXPECT_EQ(f.Put("ana", ShareOf("parish", 0.1)), 200);

  const auto names = [&](const std::string& key) {
    const json body = json::parse(f.Call("GET", config, key).body);
    return std::pair(body.at("contracts").size(), body.contains("operators"));
  };
  EXPECT_EQ(names("ana"), std::pair(std::size_t{2}, true));
  EXPECT_EQ(names("eva"), std::pair(std::size_t{2}, false));
  EXPECT_EQ(names("leo"), std::pair(std::size_t{1}, false));
  const json audit =
      json::parse(f.Call("GET", "/v1/admin/audit", "leo").body).at("audit");
  ASSERT_EQ(audit.size(), 1u);
  EXPECT_EQ(audit[0].at("confirmed_by"), "leo");
  EXPECT_EQ(audit[0].at("contracts"), json({"archive"}));
}

TEST(IntentApiTest, AnswersContainNoKeyOrDigest) {
  Fixture f;
  for (const char* path : {"/v1/admin/config", "/v1/admin/contracts",
                           "/v1/admin/audit", "/v1/admin/plans"}) {
    const std::string body = f.Call("GET", path, "ana").body;
    EXPECT_EQ(body.find(Sha256Hex("ana")), std::string::npos) << path;
    EXPECT_EQ(body.find(Sha256Hex("leo")), std::string::npos) << path;
  }
  const auto rejected = f.Call(
      "POST", "/v1/admin/plans", "ana",
      R"({"changes":[{"upsert_contract":{"id":"x","key_hashes":["s3cret"]}}]})");
  EXPECT_EQ(rejected.status, 422);
  EXPECT_EQ(rejected.body.find("s3cret"), std::string::npos) << rejected.body;
}

TEST(IntentApiTest, RejectionsReportCodeAndLocation) {
  Fixture f;
  const auto code = [&](const std::string& body) {
    const auto answer = f.Call("POST", "/v1/admin/plans", "ana", body);
    const json error = json::parse(answer.body).at("error");
    return std::to_string(answer.status) + " " +
           error.at("code").get<std::string>() + " " +
           error.at("where").get<std::string>();
  };
  EXPECT_EQ(code("{"), "422 bad_statement ");
  EXPECT_EQ(code("{}"), "422 bad_statement /changes");
  EXPECT_EQ(code(R"({"changes":[{"remove_contract":"none"}]})"),
            "422 bad_statement /changes/0");
  EXPECT_EQ(code(ShareOf("parish", 0.7)), "422 over_committed /services/llm");
  EXPECT_EQ(code(ShareOf("archive", 0.5)), "422 nothing_changes ");
  EXPECT_EQ(code(R"({"changes":[{"remove_operator":"ana"}]})"),
            "422 locks_out /operators");
  EXPECT_EQ(code(R"({"rollback_to":77})"), "404 no_such_revision ");
}

TEST(IntentApiTest, ConflictReportsChangesSinceBase) {
  Fixture f;
  const auto made =
      f.Call("POST", "/v1/admin/plans", "ana", ShareOf("parish", 0.1));
  const std::string id = json::parse(made.body).at("id");
  EXPECT_EQ(f.Put("ana", ShareOf("parish", 0.2)), 200);
  const auto conflict =
      f.Call("POST", "/v1/admin/plans/" + id + "/confirm", "ana");
  EXPECT_EQ(conflict.status, 409);
  const json body = json::parse(conflict.body);
  EXPECT_EQ(body.at("error").at("code"), "conflict");
  EXPECT_EQ(body.at("changed_since").size(), 1u);
  EXPECT_EQ(f.Call("GET", "/v1/admin/plans/" + id, "ana").status, 200);
  EXPECT_EQ(f.Call("GET", "/v1/admin/plans/none", "ana").status, 404);
  const json status =
      json::parse(f.Call("GET", "/v1/admin/config/status", "eva").body);
  EXPECT_EQ(status.at("revision"), 3);
  EXPECT_EQ(status.at("instances")[0].at("revision"), 1);
}

}  // namespace
}  // namespace lynxglade::version
