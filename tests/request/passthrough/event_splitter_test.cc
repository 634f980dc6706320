#include "request/passthrough/event_splitter.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

TEST(EventSplitter, HoldsBackAnIncompleteEvent) {
  EventSplitter events;
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.partial(), "id: 2\nda");
  EXPECT_EQ(events.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
  EXPECT_EQ(events.events(), 2);
}

TEST(EventSplitter, ResumesAfterTheLastCompleteEvent) {
  EventSplitter events;
  events.Feed("id: 1\ndata: a\n\nid: 2\ndata");
  events.DiscardPartial();
  EXPECT_EQ(events.Feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

TEST(EventSplitter, AcceptsLinesThatEndWithCrLf) {
  EventSplitter events;
  EXPECT_EQ(events.Feed("id:7\r\ndata: a\r\n\r\n"), "id:7\r\ndata: a\r\n\r\n");
  EXPECT_EQ(events.last_id(), "7");
}

// However the stream is split, the same bytes come out, in complete events.
RC_GTEST_PROP(EventSplitter, SplittingOfTheInputMakesNoDifference, ()) {
  const int count = *rc::gen::inRange(1, 20);
  std::string stream;
  for (int i = 1; i <= count; ++i) {
    stream += "id: " + std::to_string(i) + "\ndata: " +
              std::string(*rc::gen::inRange<std::size_t>(0, 40), 'x') + "\n\n";
  }
  EventSplitter events;
  std::string passed;
  std::size_t at = 0;
  while (at < stream.size()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 50);
    const std::string whole = events.Feed(stream.substr(at, n));
    RC_ASSERT(whole.empty() || whole.ends_with("\n\n"));
    passed += whole;
    at += n;
  }
  RC_ASSERT(passed == stream);
  RC_ASSERT(events.last_id() == std::to_string(count));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
