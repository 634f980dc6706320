#include "platform/target_protocol.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "request/passthrough/part_hashes.h"

namespace lynxglade::platform {
namespace {

using request::passthrough::LimitStatement;
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

LimitStatement LimitOf(const std::vector<std::string>& values) {
  connection::event::ResponseHead head;
  for (const std::string& value : values) {
    head.insert("Server-Limit", value);
  }
  return MakeTargetProtocol().parse_answer(head).limit;
}

TEST(TargetProtocol, AnswerMayNameALimit) {
  EXPECT_EQ(LimitOf({}).kind, LimitStatement::Kind::kNone);
  for (const auto& [text, rate] :
       std::map<std::string, double>{{"7.5", 7.5},
                                     {"4", 4},
                                     {"0", 0},
                                     {"0.0", 0},
                                     {"3.1415926", 3.1415926}}) {
    const LimitStatement limit = LimitOf({text});
    EXPECT_EQ(limit.kind, LimitStatement::Kind::kNamed) << text;
    EXPECT_DOUBLE_EQ(limit.rate.value(), rate) << text;
  }
}

TEST(TargetProtocol, UnreadableLimitIsNotTakenForNone) {
  for (const char* text : {"", "-1", "-0", "x", "nan", "inf", "1e400", "1e2",
                           "4.6 a second", "4,6", "0x10", "1.2.3", "."}) {
    EXPECT_EQ(LimitOf({text}).kind, LimitStatement::Kind::kMalformed) << text;
  }
  EXPECT_EQ(LimitOf({"4", "8"}).kind, LimitStatement::Kind::kMalformed);
  EXPECT_EQ(LimitOf({"4", "4"}).kind, LimitStatement::Kind::kMalformed);
}

std::vector<request::ContentHash> SharedPartsOf(const std::string& text) {
  connection::event::RequestHead head;
  head.set("Lynxglade-Token-Usage", "100,10");
  head.set("Lynxglade-Prefix-Hash", text);
  std::string reason;
  const auto terms = MakeTargetProtocol().parse_terms(head, &reason);
  return terms ? request::passthrough::HashSharedParts(terms->prompt)
               : std::vector<request::ContentHash>{};
}

// A part's number is written in different ways, and it is the same part.
TEST(TargetProtocol, SharedPartsAreIdentifiedByTheirNumbers) {
  const auto parts = SharedPartsOf("bad:10,c1:20,own:30");
  ASSERT_EQ(parts.size(), 2u);
  EXPECT_EQ(SharedPartsOf("00BAD:11, 0c1:20,other:30"), parts);
  EXPECT_EQ(SharedPartsOf("c1:20,bad:10,own:30"), parts);
  EXPECT_EQ(SharedPartsOf("bad:10,BAD:5,c1:20,bad:10,own:30"), parts);
  EXPECT_NE(SharedPartsOf("bad0:10,c1:20,own:30"), parts);
  EXPECT_EQ(SharedPartsOf("0:1,x:1").size(), 1u);
  EXPECT_EQ(SharedPartsOf("000:1,x:1"), SharedPartsOf("0:1,x:1"));
}

TEST(TargetProtocol, OwnPartIsNotShared) {
  EXPECT_TRUE(SharedPartsOf("bad:10").empty());
  EXPECT_TRUE(SharedPartsOf("").empty());
  EXPECT_TRUE(SharedPartsOf("bad").empty());
  EXPECT_TRUE(SharedPartsOf("bad:x,own:1").empty());
}

// A field that is new in the protocol must not be dropped unnoticed.
TEST(TargetProtocol, HeadersNamedLikeTheProtocolsAreCounted) {
  connection::event::ResponseHead head;
  head.set("Lynxglade-Instance-Load", "3,1,8");
  head.set("lynxglade-attempt-id", "r1");
  head.set("Server", "s");
  head.set("Keep-Alive", "timeout=5");
  EXPECT_EQ(MakeTargetProtocol().parse_answer(head).unknown_headers, 0);
  head.set("Server-Quota", "1");
  head.set("lynxglade-cooling", "1");
  EXPECT_EQ(MakeTargetProtocol().parse_answer(head).unknown_headers, 2);
}

}  // namespace
}  // namespace lynxglade::platform
