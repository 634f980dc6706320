#include "process/capacity/capacity_record.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::capacity {
namespace {

const CapacityRecord kRecord{
    {base::ServiceName("llm"),
     {{base::ZoneId("a"), {30, {6, 39}}}, {base::ZoneId("b"), {12, {12, 0}}}}}};

TEST(CapacityRecord, SurvivesTheEncoding) {
  EXPECT_EQ(DecodeRecord(EncodeRecord(kRecord)), kRecord);
  EXPECT_EQ(DecodeRecord(EncodeRecord({})), CapacityRecord());
}

TEST(CapacityRecord, RejectsWhatIsNoRecord) {
  EXPECT_FALSE(DecodeRecord(""));
  EXPECT_FALSE(DecodeRecord("[]"));
  EXPECT_FALSE(DecodeRecord(R"({"llm":1})"));
  EXPECT_FALSE(DecodeRecord(R"({"llm":{"a":{"base":-1}}})"));
}

RC_GTEST_PROP(CapacityRecord, DamagedTextNeverThrows, ()) {
  std::string text = EncodeRecord(kRecord);
  text[*rc::gen::inRange<std::size_t>(0, text.size())] =
      static_cast<char>(*rc::gen::inRange(0, 256));
  DecodeRecord(text);
}

}  // namespace
}  // namespace lynxglade::process::capacity
