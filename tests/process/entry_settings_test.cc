#include "process/entry_settings.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

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

TEST(EntrySettings, TakesFlagsInBothForms) {
  SettingsFault fault;
  const auto settings =
      Parse(With({"--stop-grace", "5", "--retry-ratio=0.1"}), &fault);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->store.port, 3);
  EXPECT_EQ(settings->stop_grace, std::chrono::seconds(5));
  EXPECT_DOUBLE_EQ(settings->retry_ratio, 0.1);
}

TEST(EntrySettings, EachMissingSettingIsNamed) {
  SettingsFault fault;
  EXPECT_FALSE(Parse({"lynxgladed"}, &fault));
  EXPECT_EQ(fault.lines.size(), 5U);
  EXPECT_NE(fault.lines[0].find("LYNXGLADE_INSTANCE_ID"), std::string::npos);
}

TEST(EntrySettings, ABadValueIsNamedWithWhatIsAllowed) {
  for (const auto& [flag, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"--stop-grace", "0"},
           {"--retry-ratio", "x"},
           {"--retry-allowance", "-1"},
           {"--decode-share", "1.5"},
           {"--log-level", "loud"},
           {"--max-connections", "0"}}) {
    SettingsFault fault;
    EXPECT_FALSE(Parse(With({flag, value}), &fault)) << flag;
    ASSERT_EQ(fault.lines.size(), 1U);
    EXPECT_NE(fault.lines[0].find(flag), std::string::npos);
  }
}

TEST(EntrySettings, AnUnknownFlagIsAFault) {
  SettingsFault fault;
  EXPECT_FALSE(Parse(With({"--nonsense", "1"}), &fault));
  EXPECT_EQ(fault.lines.size(), 1U);
}

}  // namespace
}  // namespace lynxglade::process
