// Callers' API keys and organisations, from caller to target.
#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "platform/header_names.h"
#include "platform/relay_fixture.h"
#include "platform/target_protocol.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using request::passthrough::CallerLimits;
using request::passthrough::Engine;
using request::passthrough::EngineStage;
using request::passthrough::OrganisationKeys;
using request::passthrough::Route;
using request::passthrough::RouteKind;
using request::passthrough::RouteTable;
using request::passthrough::SendTerms;
using request::passthrough::ServiceTerms;
using Then = ScriptedServer::Then;

constexpr char kKeyA[] = "Authorization: Bearer example-key-a\r\n";
constexpr char kKeyB[] = "Authorization: Bearer example-key-b\r\n";
constexpr char kUnknownKey[] = "Authorization: Bearer example-key-x\r\n";

Route MakeRoute(const std::string& prefix, RouteKind kind) {
  Route route;
  route.name = prefix;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.max_attempts = 2;
  route.priority = 3;
  route.timeout = std::chrono::seconds(20);
  route.resumable = kind == RouteKind::kStream;
  route.shares = {{base::ServiceName("s"), 1}};
  return route;
}

// Organisation "a" holds key a and has a priority of its own; "b" holds key b
// unless `without_b`.
std::shared_ptr<const RouteTable> MakeTable(std::int64_t version,
                                            bool without_b = false) {
  OrganisationKeys keys;
  keys.AddKey(keys.AddOrganisation({base::OrganisationId("a"), 1}),
              "example-key-a");
  const std::size_t b =
      keys.AddOrganisation({base::OrganisationId("b"), std::nullopt});
  if (!without_b) {
    keys.AddKey(b, "example-key-b");
  }
  Route open = MakeRoute("/public/", RouteKind::kIdempotent);
  open.is_public = true;
  return std::make_shared<const RouteTable>(
      version,
      std::vector<Route>{MakeRoute("/safe/", RouteKind::kIdempotent),
                         MakeRoute("/resumable/", RouteKind::kStream), open},
      std::vector<ServiceTerms>{}, CallerLimits{}, std::move(keys));
}

class OrganisationTest : public RelayTest {
 protected:
  OrganisationTest() { routes_ = MakeTable(1); }

  std::uint64_t Refused(const std::string& reason) {
    return metrics_.GetCounter("lynxglade_refusals_total", {{"reason", reason}})
        .Get();
  }
};

TEST_F(OrganisationTest, TheTargetGetsTheOrganisationInPlaceOfTheKey) {
  ScriptedServer& target = AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kKeyA)), "200"));
  const std::string seen = target.requests().at(0);
  EXPECT_EQ(Header(seen, "Lynxglade-Tenant"), "a");
  EXPECT_EQ(seen.find("example-key"), std::string::npos);
  EXPECT_EQ(seen.find("Authorization"), std::string::npos);
}

TEST_F(OrganisationTest, CallersCannotNameAnOrganisation) {
  ScriptedServer& target = AddTarget(Ok);
  Call(Request("/safe/x", std::string(kKeyB) + "Lynxglade-Tenant: a\r\n"));
  Call(Request("/public/x", "Lynxglade-Tenant: a\r\n"));
  EXPECT_EQ(Header(target.requests().at(0), "Lynxglade-Tenant"), "b");
  EXPECT_EQ(target.requests().at(1).find("Lynxglade-Tenant"),
            std::string::npos);
}

TEST_F(OrganisationTest, RequestsWithoutAKnownKeyReceive401) {
  AddTarget(Ok);
  for (const std::string& headers :
       {std::string(), std::string(kUnknownKey),
        std::string("Authorization: Basic example-key-a\r\n"),
        std::string("Authorization: Bearer \r\n"),
        // Which of two keys counts would be a guess.
        std::string(kKeyA) + kKeyB}) {
    const std::string answer = Call(Request("/safe/x", headers));
    EXPECT_TRUE(IsStatus(answer, "401")) << headers;
    EXPECT_EQ(answer.find("Retry-After"), std::string::npos);
    EXPECT_EQ(answer.find("example-key"), std::string::npos);
  }
  EXPECT_EQ(Arrivals(), 0U);
  EXPECT_EQ(Refused("unknown_key"), 1);
  EXPECT_EQ(Refused("missing_key"), 4);
}

// Guards against callers without a key that make a route look badly served.
TEST_F(OrganisationTest, RequestsWithoutAKnownKeyDoNotCountTowardsShares) {
  AddTarget(Ok);
  const auto routes_seen = [this] {
    return thread_->Do(
        [this] { return served_shares_.Own(base::BootClock::now()).size(); });
  };
  Call(Request("/safe/x", kUnknownKey));
  EXPECT_EQ(routes_seen(), 0U);
  Call(Request("/safe/x", kKeyA));
  thread_->Await([this] {
    return served_shares_.Own(base::BootClock::now()).size() == 1;
  });
}

// Guards against STARVED: the prompts of a route that is served too rarely are
// prefilled as urgently as any.
TEST_F(OrganisationTest, APromptOfARarelyServedRouteIsMostUrgent) {
  ScriptedServer& prefill_engine =
      AddTarget(PrefillDone, EngineStage::kPrefill);
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, ScriptedServer::Then::kKeep);
  });
  const auto priority = [&](const std::string& id) {
    Call(Request("/resumable/x", std::string(kKeyB) + kPromptLines, id));
    return Header(prefill_engine.requests().back(),
                  "Lynxglade-Request-Priority");
  };
  EXPECT_EQ(priority("r1"), "3");
  const std::string route = routes_->Find("h", "/resumable/x")->name;
  thread_->Do([this, &route] {
    const base::Time now = base::BootClock::now();
    const base::ServiceName service("s");
    for (int i = 0; i < 200; ++i) {
      served_shares_.RecordEnd(service, route, 1'000, false, now);
      served_shares_.RecordEnd(service, "other", 1'000, true, now);
    }
  });
  EXPECT_EQ(priority("r2"), "0");
}

TEST_F(OrganisationTest, ARunIsRecordedOncePerRequestThatATargetRan) {
  std::atomic<int> calls = 0;
  const auto fail_once = [&calls](const std::string& request) {
    return calls++ == 0 ? Answer(request, "500 Internal Server Error", "")
                        : Ok(request);
  };
  AddTarget(fail_once);
  AddTarget(fail_once);
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kKeyA)), "200"));
  EXPECT_EQ(runs_, std::vector<std::string>{"a"});
  Call(Request("/public/x"));
  Call(Request("/safe/x", kUnknownKey));
  EXPECT_EQ(runs_.size(), 1U);
}

TEST_F(OrganisationTest, ARequestThatNoTargetRanIsNotRecorded) {
  AddTarget(NotRun);
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kKeyA)), "503"));
  EXPECT_TRUE(runs_.empty());
}

TEST_F(OrganisationTest, PublicRoutesNeedNoKeyAndForwardNone) {
  ScriptedServer& target = AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/public/x")), "200"));
  EXPECT_TRUE(IsStatus(Call(Request("/public/x", kUnknownKey)), "200"));
  EXPECT_EQ(target.requests().at(1).find("Authorization"), std::string::npos);
}

// A key could belong to the configuration that is not known yet.
TEST_F(OrganisationTest, WithoutAConfigurationKeysAreNotRejected) {
  AddTarget(Ok);
  routes_.reset();
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kUnknownKey)), "503"));
}

// Without organisations credentials are between the caller and the target.
TEST_F(OrganisationTest, WithoutOrganisationsCredentialsAreForwarded) {
  routes_ = MakeRoutes();
  ScriptedServer& target = AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kUnknownKey)), "200"));
  EXPECT_EQ(Header(target.requests().at(0), "Authorization"),
            "Bearer example-key-x");
}

TEST_F(OrganisationTest, ARemovedKeyIsRejectedOnceTheVersionIsInForce) {
  AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kKeyB)), "200"));
  thread_->Do([this] {
    routes_ = MakeTable(2, /*without_b=*/true);
    return true;
  });
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kKeyB)), "401"));
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x", kKeyA)), "200"));
}

// A stream that has begun ends under the version under which it was admitted,
// also where it continues at another target.
TEST_F(OrganisationTest, AStreamUnderWayOutlivesItsKey) {
  const auto revoke = [this](const std::string& request) {
    routes_ = MakeTable(2, /*without_b=*/true);
    return Stream(request, 1, 2, Then::kReset);
  };
  const auto resume = [](const std::string& request) {
    return Stream(request, 3, 4, Then::kKeep);
  };
  std::atomic<int> calls = 0;
  const auto either = [&](const std::string& request) {
    return calls++ == 0 ? revoke(request) : resume(request);
  };
  ScriptedServer& one = AddTarget(either);
  ScriptedServer& other = AddTarget(either);
  const std::string answer = Call(Request("/resumable/x", kKeyB));
  EXPECT_TRUE(IsStatus(answer, "200"));
  EXPECT_NE(answer.find("id: 4"), std::string::npos);
  // One run, though two targets had a part in it.
  EXPECT_EQ(runs_, std::vector<std::string>{"b"});
  for (ScriptedServer* it : {&one, &other}) {
    EXPECT_EQ(Header(it->requests().at(0), "Lynxglade-Tenant"), "b");
  }
}

TEST_F(OrganisationTest, PrefillAndHandOverCarryTheOrganisation) {
  ScriptedServer& prefill = AddTarget(PrefillDone, EngineStage::kPrefill);
  ScriptedServer& decode = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  EXPECT_TRUE(IsStatus(
      Call(Request("/resumable/x", std::string(kPromptLines) + kKeyA)), "200"));
  for (ScriptedServer* it : {&prefill, &decode}) {
    const std::string seen = it->requests().at(0);
    EXPECT_EQ(Header(seen, "Lynxglade-Tenant"), "a");
    EXPECT_EQ(seen.find("example-key"), std::string::npos);
    // The organisation's priority, not the route's.
    EXPECT_EQ(Header(seen, "Lynxglade-Request-Priority"), "1");
  }
}

TEST_F(OrganisationTest, WithoutAPriorityOfItsOwnTheRouteDecides) {
  ScriptedServer& target = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  Call(Request("/resumable/x", std::string(kPromptLines) + kKeyB));
  EXPECT_EQ(Header(target.requests().at(0), "Lynxglade-Request-Priority"), "3");
}

// Whatever a caller sends under the system's names is removed or replaced.
TEST(SystemHeaders, NoneOfACallersReachesATarget) {
  connection::event::RequestHead head;
  for (const char* name : kSystemHeaders) {
    head.insert(name, "forged");
    head.insert(name, "forged twice");
  }
  SendTerms terms;
  terms.target = std::make_shared<Engine>();
  MakeTargetProtocol().rewrite_head(head, terms);
  for (const auto& field : head) {
    EXPECT_EQ(field.value().find("forged"), std::string::npos) << field.name();
  }
}

}  // namespace
}  // namespace lynxglade::platform
