#include "request/passthrough/event_splitter.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

constexpr std::size_t kMaxHeldBytes = 1000;

TEST(EventSplitter, HoldsBackAnIncompleteEvent) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.held_bytes(), 8U);
  EXPECT_EQ(events.position(), StreamPosition::kInEvent);
  EXPECT_EQ(events.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
  EXPECT_EQ(events.events(), 2);
  EXPECT_EQ(events.position(), StreamPosition::kBetweenEvents);
}

TEST(EventSplitter, ResumesAfterTheLastCompleteEvent) {
  EventSplitter events(kMaxHeldBytes);
  events.Feed("id: 1\ndata: a\n\nid: 2\ndata");
  events.Restart();
  EXPECT_FALSE(events.has_event());
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.Feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_TRUE(events.has_event());
}

// A field that sets only the delay of a reconnect may be repeated.
TEST(EventSplitter, CanResumeOnlyAfterTheLastEventsId) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_TRUE(events.can_resume());
  events.Feed("retry: 5\n\n");
  EXPECT_TRUE(events.can_resume());
  events.Feed("data: a\n\n");
  EXPECT_FALSE(events.can_resume());
  events.Feed("id: 1\ndata: b\n\ndata: c\n");
  EXPECT_TRUE(events.can_resume());
  events.Restart();
  EXPECT_TRUE(events.can_resume());
  events.Feed("id:\ndata: d\n\n");
  EXPECT_FALSE(events.can_resume());
}

TEST(EventSplitter, AcceptsLinesThatEndWithCrLf) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("id:7\r\ndata: a\r\n\r\n"), "id:7\r\ndata: a\r\n\r\n");
  EXPECT_EQ(events.last_id(), "7");
}

TEST(EventSplitter, AcceptsLinesThatEndWithCr) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("id:7\rdata: a\r\rid:8\r"), "id:7\rdata: a\r\r");
  EXPECT_EQ(events.last_id(), "7");
  EXPECT_EQ(events.Feed("data: b\r\r"), "id:8\rdata: b\r\r");
  EXPECT_EQ(events.last_id(), "8");
  EXPECT_EQ(events.position(), StreamPosition::kBetweenEvents);
}

// The event is complete with the CR; a LF may or may not follow.
TEST(EventSplitter, ACrLfMayBeSplit) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("id:7\r\ndata: a\r\n\r"), "id:7\r\ndata: a\r\n\r");
  EXPECT_EQ(events.last_id(), "7");
  EXPECT_EQ(events.position(), StreamPosition::kInLine);
  EXPECT_EQ(events.Feed("\nid:8\r"), "\n");
  EXPECT_EQ(events.Feed("\ndata: b\r\n\r\n"), "id:8\r\ndata: b\r\n\r\n");
  EXPECT_EQ(events.events(), 2);
  EXPECT_EQ(events.position(), StreamPosition::kBetweenEvents);
}

TEST(EventSplitter, ForwardsCommentsAndEmptyLinesBetweenEvents) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed(": hello\n\n: ag"), ": hello\n\n");
  EXPECT_FALSE(events.has_event());
  EXPECT_EQ(events.position(), StreamPosition::kInLine);
  EXPECT_EQ(events.Feed("ain\ndata: x\n: inside\n"), ": again\n");
  EXPECT_EQ(events.position(), StreamPosition::kInEvent);
  EXPECT_EQ(events.Feed("\n\n"), "data: x\n: inside\n\n\n");
  EXPECT_EQ(events.position(), StreamPosition::kBetweenEvents);
}

TEST(EventSplitter, ReturnsAnUnfinishedLineAtTheEnd) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("data: x\n\n: by"), "data: x\n\n");
  EXPECT_EQ(events.Finish(), "data: x\n\n: by");
  EXPECT_EQ(events.held_bytes(), 0U);
}

TEST(EventSplitter, ReleasesALargeEventInParts) {
  EventSplitter events(/*max_held_bytes=*/10);
  EXPECT_EQ(events.Feed("id: 1\n\nid: 2\nda"), "id: 1\n\n");
  EXPECT_TRUE(events.can_resume());
  EXPECT_EQ(events.Feed("ta: x"), "id: 2\ndata: x");
  EXPECT_EQ(events.position(), StreamPosition::kInEvent);
  EXPECT_FALSE(events.can_resume());
  // Neither an empty line nor an id.
  EXPECT_EQ(events.Feed("\n"), "");
  EXPECT_FALSE(events.can_resume());
  EXPECT_EQ(events.Feed("\n"), "\n\n");
  EXPECT_EQ(events.last_id(), "2");
  EXPECT_EQ(events.position(), StreamPosition::kBetweenEvents);
  EXPECT_TRUE(events.can_resume());
}

TEST(EventSplitter, ReleasesALargeCommentInParts) {
  EventSplitter events(/*max_held_bytes=*/10);
  EXPECT_EQ(events.Feed(": 0123456789"), ": 0123456789");
  EXPECT_EQ(events.position(), StreamPosition::kInLine);
  EXPECT_FALSE(events.can_resume());
  EXPECT_EQ(events.Feed("id: 1\n\n"), "id: 1\n\n");
  EXPECT_EQ(events.last_id(), "");
  EXPECT_EQ(events.position(), StreamPosition::kBetweenEvents);
  EXPECT_TRUE(events.can_resume());
}

TEST(EventSplitter, AFieldWithoutDataIsAnEventToo) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("retry: 100\n"), "");
  EXPECT_EQ(events.position(), StreamPosition::kInEvent);
  EXPECT_EQ(events.Feed("\n"), "retry: 100\n\n");
  EXPECT_EQ(events.events(), 0);
}

TEST(EventSplitter, AByteOrderMarkIsNoPartOfTheFirstLine) {
  EventSplitter events(kMaxHeldBytes);
  EXPECT_EQ(events.Feed("\xEF\xBB"), "");
  EXPECT_EQ(events.Feed("\xBFid: 1\n\n"), "\xEF\xBB\xBFid: 1\n\n");
  EXPECT_EQ(events.last_id(), "1");
  events.Restart();
  EXPECT_EQ(events.Feed("\xEF\xBB\xBFid: 2\n\n"), "id: 2\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

// A stream as its lines, each with its own end. An event without an id keeps
// the last one.
struct DrawnStream {
  std::string bytes;
  // Offsets at which the stream is between events.
  std::vector<std::size_t> boundaries{0};
  int ids = 0;
};

DrawnStream DrawStream() {
  const std::string line_end =
      *rc::gen::element<std::string>("\n", "\r\n", "\r");
  DrawnStream stream;
  const int blocks = *rc::gen::inRange(1, 12);
  for (int i = 1; i <= blocks; ++i) {
    const int kind = *rc::gen::inRange(0, 6);
    if (kind == 0) {
      stream.bytes += ": comment" + line_end;
    } else if (kind == 1) {
      stream.bytes += line_end;
    } else {
      if (kind > 2) {
        stream.bytes += "id: " + std::to_string(i) + line_end;
        ++stream.ids;
      }
      stream.bytes +=
          "data: " + std::string(*rc::gen::inRange<std::size_t>(0, 40), 'x') +
          line_end + line_end;
    }
    stream.boundaries.push_back(stream.bytes.size());
  }
  return stream;
}

// However the stream is split, the same bytes come out, in complete events.
RC_GTEST_PROP(EventSplitter, SplittingOfTheInputMakesNoDifference, ()) {
  const DrawnStream stream = DrawStream();
  EventSplitter events(kMaxHeldBytes);
  EventSplitter small_events(*rc::gen::inRange<std::size_t>(0, 60));
  std::string passed;
  std::string passed_in_parts;
  std::size_t at = 0;
  while (at < stream.bytes.size()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 50);
    passed += events.Feed(stream.bytes.substr(at, n));
    passed_in_parts += small_events.Feed(stream.bytes.substr(at, n));
    at += n;
    RC_ASSERT(stream.bytes.starts_with(passed));
    // A CRLF may be split after a boundary.
    const auto is_boundary = [&](std::size_t offset) {
      return std::ranges::find(stream.boundaries, offset) !=
             stream.boundaries.end();
    };
    RC_ASSERT((is_boundary(passed.size()) ||
               (passed.ends_with('\r') && is_boundary(passed.size() + 1))));
  }
  RC_ASSERT(passed == stream.bytes);
  RC_ASSERT(events.events() == stream.ids);
  RC_ASSERT(events.position() == StreamPosition::kBetweenEvents);
  RC_ASSERT(passed_in_parts == stream.bytes);
  RC_ASSERT(small_events.position() == StreamPosition::kBetweenEvents);
}

// A stream cut anywhere passes its complete events, and tells whether it was
// cut inside one.
RC_GTEST_PROP(EventSplitter, ACutInsideAnEventShows, ()) {
  const DrawnStream stream = DrawStream();
  const auto cut = *rc::gen::inRange<std::size_t>(0, stream.bytes.size() + 1);
  EventSplitter events(kMaxHeldBytes);
  const std::string passed(events.Feed(stream.bytes.substr(0, cut)));
  const auto next = std::ranges::upper_bound(stream.boundaries, cut);
  const std::size_t last = *(next - 1);
  RC_ASSERT(passed.size() >= last);
  RC_ASSERT(passed.size() <= cut);
  if (cut == last) {
    RC_ASSERT(events.position() == StreamPosition::kBetweenEvents);
  } else {
    RC_ASSERT((events.position() != StreamPosition::kBetweenEvents ||
               stream.bytes[cut - 1] == '\r'));
  }
}

}  // namespace
}  // namespace lynxglade::request::passthrough
