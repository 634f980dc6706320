#include "process/settings.h"

#include <cstdlib>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace lynxglade::process {
namespace {

std::vector<const char*> GoodArguments() {
  return {"lynxgladed",
          "--instance-id",
          "i1",
          "--zone",
          "z1",
          "--listen",
          "127.0.0.1:1",
          "--admin-listen",
          "127.0.0.1:2",
          "--peer-listen",
          "127.0.0.1:3",
          "--kv-url",
          "http://127.0.0.1:4",
          "--instance-list-url",
          "http://127.0.0.1:5",
          "--weight-store-url",
          "http://127.0.0.1:6"};
}

std::optional<Settings> Parse(const std::vector<const char*>& args,
                              SettingsFault* fault) {
  return ParseSettings(static_cast<int>(args.size()), args.data(), fault);
}

TEST(SettingsTest, FlagsOverrideVariablesAndVariablesOverrideDefaults) {
  auto args = GoodArguments();
  ::setenv("LYNXGLADE_ZONE", "other", 1);
  ::setenv("LYNXGLADE_MAX_CONNECTIONS", "17", 1);
  SettingsFault fault;
  const auto settings = Parse(args, &fault);
  ::unsetenv("LYNXGLADE_ZONE");
  ::unsetenv("LYNXGLADE_MAX_CONNECTIONS");
  ASSERT_TRUE(settings) << (fault.lines.empty() ? "" : fault.lines[0]);
  EXPECT_EQ(settings->zone.str(), "z1");
  EXPECT_EQ(settings->max_connections, 17u);
  EXPECT_EQ(settings->lease_ttl, std::chrono::seconds(30));
  EXPECT_EQ(settings->listen.port, 1);
}

TEST(SettingsTest, ReportsInvalidValueWithExpectedValues) {
  struct Case {
    std::vector<const char*> added;
    std::string named;
    std::string allowed;
  };
  const std::vector<Case> cases = {
      {{"--log-level", "loud"}, "--log-level", "debug, info"},
      {{"--max-connections", "0"}, "--max-connections", "1 to 20000"},
      {{"--lease-ttl", "1s"}, "--lease-ttl", "whole seconds"},
      {{"--routing-policy", "best"}, "--routing-policy", "round-robin"},
      {{"--seed-peers", "127.0.0.1:7,peer:8"}, "--seed-peers", "IP addresses"},
      {{"--seed-peers", "127.0.0.1:0"}, "--seed-peers", "IP addresses"},
      {{"--tls-key", "k.pem"}, "--tls-certificate", "together"},
      {{"--lease-ttl", "14"}, "--engine-idle-timeout", "at least 5 seconds"},
      {{"--peer-ca", "ca.pem"}, "--peer-ca", "--tls-certificate"},
  };
  for (const Case& it : cases) {
    auto args = GoodArguments();
    args.insert(args.end(), it.added.begin(), it.added.end());
    SettingsFault fault;
    EXPECT_FALSE(Parse(args, &fault));
    ASSERT_EQ(fault.lines.size(), 1u) << it.named;
    EXPECT_NE(fault.lines[0].find(it.named), std::string::npos);
    EXPECT_NE(fault.lines[0].find(it.allowed), std::string::npos)
        << fault.lines[0];
  }
}

TEST(SettingsTest, AcceptsEveryRoutingPolicy) {
  for (const char* policy :
       {"default", "random", "round-robin", "least-reported", "no-affinity"}) {
    auto args = GoodArguments();
    args.insert(args.end(), {"--routing-policy", policy});
    SettingsFault fault;
    EXPECT_TRUE(Parse(args, &fault)) << policy;
  }
}

TEST(SettingsTest, ReportsAllMissingSettings) {
  SettingsFault fault;
  EXPECT_FALSE(Parse({"lynxgladed", "--zone", "z1"}, &fault));
  EXPECT_EQ(fault.lines.size(), 7u);
  EXPECT_NE(fault.lines[0].find("LYNXGLADE_INSTANCE_ID"), std::string::npos);
}

TEST(SettingsTest, RejectsDuplicateListener) {
  auto args = GoodArguments();
  args[8] = "127.0.0.1:1";
  SettingsFault fault;
  EXPECT_FALSE(Parse(args, &fault));
  EXPECT_NE(fault.lines[0].find("must differ"), std::string::npos);
}

TEST(SettingsTest, EndpointsRequireIpAddresses) {
  EXPECT_TRUE(ParseEndpoint("127.0.0.1:0"));
  EXPECT_TRUE(ParseEndpoint("[::1]:80"));
  EXPECT_FALSE(ParseEndpoint("localhost:80"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:65536"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1"));
  EXPECT_FALSE(ParseEndpoint("::1:80"));
}

}  // namespace
}  // namespace lynxglade::process
