#include "platform/target_protocol.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace lynxglade::platform {
namespace {

using request::passthrough::ReportedLoad;

std::optional<ReportedLoad> LoadOf(const std::string& text) {
  connection::event::ResponseHead head;
  head.set("Lynxglade-Instance-Load", text);
  return MakeTargetProtocol().parse_answer(head).load;
}

TEST(TargetProtocol, LoadHasThreeFigures) {
  const auto load = LoadOf("3,1,8");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->running, 3);
  EXPECT_EQ(load->waiting, 1);
  EXPECT_EQ(load->slots, 8);
  EXPECT_EQ(load->work_time_percent, 100);
}

// Targets that share their machine add how long work takes there.
TEST(TargetProtocol, LoadMayHaveAFourthFigure) {
  const auto load = LoadOf("3,1,8,240");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->running, 3);
  EXPECT_EQ(load->slots, 8);
  EXPECT_EQ(load->work_time_percent, 240);
}

TEST(TargetProtocol, MalformedLoadIsIgnored) {
  for (const char* text : {"", "3,1", "3,1,8,x", "3,1,8,100,2", "-1,0,8"}) {
    EXPECT_FALSE(LoadOf(text)) << text;
  }
}

}  // namespace
}  // namespace lynxglade::platform
