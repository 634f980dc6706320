#include "main/check_report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lynxglade {
namespace {

TEST(CheckReportTest, ReportsReachabilityWithoutSecrets) {
  process::Settings settings;
  settings.zone = base::ZoneId("a");
  settings.bootstrap_operator_key = "s3cret";
  const auto handle = MakeCheckHandler(
      settings,
      {{"up", [] { return std::optional<std::string>(); }},
       {"down", [] { return std::optional<std::string>("unreachable"); }}});
  const connection::ApiAnswer answer = handle({});
  EXPECT_EQ(answer.body.find("s3cret"), std::string::npos);
  const auto body = nlohmann::json::parse(answer.body);
  EXPECT_EQ(body.at("services")[0].at("reachable"), true);
  EXPECT_EQ(body.at("services")[1].at("reachable"), false);
  EXPECT_EQ(body.at("services")[1].at("reason"), "unreachable");
  EXPECT_EQ(body.at("settings")[2].at("value"), "a");
}

TEST(CheckReportTest, ProbesEveryService) {
  // Without an address, each probe must fail.
  const process::Settings settings;
  const connection::KeyValue key_value(
      [](const connection::KvCall&, connection::KvError* error) {
        *error = connection::KvError::kUnreachable;
        return std::optional<connection::KvAnswer>();
      },
      std::chrono::seconds(1));
  const auto services = PlatformServices(settings, key_value);
  ASSERT_EQ(services.size(), 3u);
  for (const ExternalService& it : services) {
    EXPECT_TRUE(it.probe()) << it.name;
  }
}

}  // namespace
}  // namespace lynxglade
