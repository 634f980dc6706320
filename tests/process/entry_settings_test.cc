#include "process/entry_settings.h"

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process {
namespace {

const std::vector<std::string> kRequired = {
    "lynxgladed",  "--instance-id",      "i",           "--zone",
    "a",           "--listen",           "127.0.0.1:1", "--health-listen",
    "127.0.0.1:2", "--store=127.0.0.1:3"};

std::optional<EntrySettings> Parse(std::vector<std::string> words,
                                   SettingsFault* fault) {
  std::vector<const char*> argv;
  for (const std::string& word : words) {
    argv.push_back(word.c_str());
  }
  return ParseEntrySettings(static_cast<int>(argv.size()), argv.data(), fault);
}

std::vector<std::string> With(std::vector<std::string> more) {
  std::vector<std::string> words = kRequired;
  words.insert(words.end(), more.begin(), more.end());
  return words;
}

TEST(EntrySettings, AcceptsBothFlagForms) {
  SettingsFault fault;
  const auto settings =
      Parse(With({"--stop-grace", "5", "--retry-ratio=0.1"}), &fault);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->store.port, 3);
  EXPECT_EQ(settings->stop_grace, std::chrono::seconds(5));
  EXPECT_DOUBLE_EQ(settings->retry_ratio, 0.1);
}

TEST(EntrySettings, ReportsEachMissingSetting) {
  SettingsFault fault;
  EXPECT_FALSE(Parse({"lynxgladed"}, &fault));
  EXPECT_EQ(fault.lines.size(), 5U);
  EXPECT_NE(fault.lines[0].find("LYNXGLADE_INSTANCE_ID"), std::string::npos);
}

TEST(EntrySettings, ReportsInvalidValueWithItsFlag) {
  for (const auto& [flag, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"--stop-grace", "0"},
           {"--retry-ratio", "x"},
           {"--retry-allowance", "-1"},
           {"--decode-share", "1.5"},
           {"--holder-gap-ms", "-1"},
           {"--usage-window", "0"},
           {"--usage-tolerance", "2"},
           {"--log-level", "loud"},
           {"--max-connections", "0"}}) {
    SettingsFault fault;
    EXPECT_FALSE(Parse(With({flag, value}), &fault)) << flag;
    ASSERT_EQ(fault.lines.size(), 1U);
    EXPECT_NE(fault.lines[0].find(flag), std::string::npos);
  }
}

TEST(EntrySettings, ReadsTheDuties) {
  SettingsFault fault;
  const auto settings = Parse(
      With({"--duties=usage,scaling", "--duty-calls=10.0.0.1:80",
            "--holder-gap-ms=3000.5", "--target-heartbeat-ms=1500",
            "--usage-window=5", "--usage-due=10.0", "--usage-tolerance=0.05"}),
      &fault);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->duties, (std::set<std::string>{"scaling", "usage"}));
  EXPECT_EQ(settings->duty_calls->port, 80);
  EXPECT_EQ(settings->holder_gap, std::chrono::microseconds(3'000'500));
  EXPECT_EQ(settings->target_heartbeat, std::chrono::milliseconds(1500));
  EXPECT_EQ(settings->usage_window, std::chrono::seconds(5));
  EXPECT_EQ(settings->usage_due, std::chrono::seconds(10));
  EXPECT_FALSE(Parse(With({"--duties=usage,,scaling"}), &fault));
}

// Without duties an instance makes no calls to the platform.
TEST(EntrySettings, ByDefaultThereAreNoDuties) {
  SettingsFault fault;
  const auto settings = Parse(kRequired, &fault);
  ASSERT_TRUE(settings);
  EXPECT_TRUE(settings->duties.empty());
  EXPECT_FALSE(settings->duty_calls);
}

// Guards against rejecting fractional bounds, which prevents the start.
RC_GTEST_PROP(EntrySettings,
              AcceptsWholeAndFractionalBounds,
              (unsigned whole, unsigned parts)) {
  const double value = 1 + whole % 3000 + (parts % 10'000) / 10'000.0;
  const auto text = *rc::gen::element(
      std::to_string(value), std::to_string(static_cast<int>(value)),
      std::to_string(static_cast<int>(value)) + ".0",
      std::to_string(value / 10) + "e1");
  const std::string flag = *rc::gen::element<std::string>(
      "--stop-grace", "--retry-window", "--retry-allowance");
  SettingsFault fault;
  const auto settings = Parse(With({flag, text}), &fault);
  RC_ASSERT(settings.has_value());
  const double read =
      flag == "--retry-allowance" ? settings->retry_allowance
      : flag == "--retry-window"
          ? std::chrono::duration<double>(settings->retry_window).count()
          : std::chrono::duration<double>(settings->stop_grace).count();
  RC_ASSERT(std::abs(read - std::stod(text)) < 1e-3);
}

TEST(EntrySettings, KeepsFractionOfAllowance) {
  SettingsFault fault;
  const auto settings =
      Parse(With({"--retry-allowance", "33.1578947368421"}), &fault);
  ASSERT_TRUE(settings);
  EXPECT_DOUBLE_EQ(settings->retry_allowance, 33.1578947368421);
}

// The platform sets an empty variable for a bound that it does not define.
TEST(EntrySettings, EmptyVariableKeepsTheDefault) {
  ASSERT_EQ(setenv("LYNXGLADE_RETRY_ALLOWANCE", "", 1), 0);
  SettingsFault fault;
  const auto settings = Parse(kRequired, &fault);
  unsetenv("LYNXGLADE_RETRY_ALLOWANCE");
  ASSERT_TRUE(settings);
  EXPECT_DOUBLE_EQ(settings->retry_allowance, EntrySettings().retry_allowance);
}

TEST(EntrySettings, ReportsUnknownFlag) {
  SettingsFault fault;
  EXPECT_FALSE(Parse(With({"--nonsense", "1"}), &fault));
  EXPECT_EQ(fault.lines.size(), 1U);
}

}  // namespace
}  // namespace lynxglade::process
