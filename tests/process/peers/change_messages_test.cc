#include "process/peers/change_messages.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/made_changes.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::SamplingLevels;

rc::Gen<SamplingLevels> GenLevels() {
  return rc::gen::exec([] {
    std::map<request::passthrough::EngineGroup, int> levels;
    const int n = *rc::gen::inRange(0, 6);
    for (int i = 0; i < n; ++i) {
      levels[{base::ServiceName("s" + std::to_string(i % 2)),
              base::ZoneId(*rc::gen::arbitrary<std::string>())}] =
          *rc::gen::inRange(0, 20);
    }
    return SamplingLevels(std::move(levels));
  });
}

RC_GTEST_PROP(ChangeMessages, AnswerRoundTrip, ()) {
  ChangesAnswer answer;
  answer.changes.revision = base::Revision(1'000'000);
  answer.changes.age = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
  answer.more = *rc::gen::arbitrary<bool>();
  answer.snapshot_start =
      base::Revision(*rc::gen::inRange<std::int64_t>(0, 1'000'000));
  if (*rc::gen::arbitrary<bool>()) {
    answer.levels = *GenLevels();
  }
  const int n = *rc::gen::inRange(0, 30);
  for (int i = 0; i < n; ++i) {
    store::StoreItem item = Item(*rc::gen::inRange<std::int64_t>(1, 1'000'000),
                                 *rc::gen::arbitrary<std::string>());
    item.deleted = *rc::gen::arbitrary<bool>();
    if (item.deleted) {
      item.value.clear();
    }
    answer.changes.items.push_back(item);
  }
  const auto bytes = EncodeAnswer(answer);
  RC_ASSERT(bytes.has_value());
  const auto read = DecodeAnswer(*bytes);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->changes.revision == answer.changes.revision);
  RC_ASSERT(read->changes.age == answer.changes.age);
  RC_ASSERT(read->more == answer.more);
  RC_ASSERT(read->snapshot_start == answer.snapshot_start);
  RC_ASSERT((read->levels == answer.levels));
  const auto& items = answer.changes.items;
  RC_ASSERT(read->changes.items.size() == items.size());
  for (std::size_t i = 0; i < items.size(); ++i) {
    RC_ASSERT(read->changes.items[i].key == items[i].key);
    RC_ASSERT(read->changes.items[i].value == items[i].value);
    RC_ASSERT(read->changes.items[i].revision == items[i].revision);
    RC_ASSERT(read->changes.items[i].deleted == items[i].deleted);
  }
}

RC_GTEST_PROP(ChangeMessages, QueryRoundTrip, ()) {
  ChangesQuery query;
  query.after = base::Revision(*rc::gen::inRange<std::int64_t>(-1, 1'000'000));
  query.wait = std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
  query.everything = *rc::gen::arbitrary<bool>();
  query.levels_digest = *rc::gen::arbitrary<std::uint64_t>();
  if (*rc::gen::arbitrary<bool>()) {
    query.snapshot_start =
        base::Revision(*rc::gen::inRange<std::int64_t>(0, 1'000'000));
  }
  query.placements = {static_cast<double>(*rc::gen::inRange(0, 1000)),
                      static_cast<double>(*rc::gen::inRange(0, 1000))};
  const auto read = DecodeQuery(EncodeQuery(query));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->after == query.after);
  RC_ASSERT(read->wait == query.wait);
  RC_ASSERT(read->everything == query.everything);
  RC_ASSERT(read->levels_digest == query.levels_digest);
  RC_ASSERT((read->snapshot_start == query.snapshot_start));
  RC_ASSERT(read->placements.placed == query.placements.placed);
  RC_ASSERT(read->placements.crowded == query.placements.crowded);
}

RC_GTEST_PROP(ChangeMessages,
              ArbitraryBytesAreRejectedOrConsistent,
              (std::string bytes)) {
  DecodeQuery(bytes);
  const auto read = DecodeAnswer(bytes);
  const auto in_order = [&read] {
    return std::ranges::all_of(read->changes.items, [&](const auto& it) {
      return it.revision <= read->changes.revision;
    });
  };
  RC_ASSERT((!read || in_order()));
}

RC_GTEST_PROP(ChangeMessages, TruncatedAnswerIsRejected, ()) {
  ChangesAnswer answer;
  answer.changes = Changes(1, 5);
  const auto bytes = EncodeAnswer(answer);
  const auto n = *rc::gen::inRange<std::size_t>(0, bytes->size());
  RC_ASSERT(!DecodeAnswer(std::string_view(*bytes).substr(0, n)));
}

TEST(ChangeMessages, MalformedQueryIsRejected) {
  const std::string good = EncodeQuery({});
  ASSERT_TRUE(DecodeQuery(good));
  EXPECT_FALSE(DecodeQuery(good.substr(0, good.rfind('/'))));
  EXPECT_FALSE(DecodeQuery(good + "/0"));
  EXPECT_FALSE(DecodeQuery("/v1/changes-after/5/1000"));
  EXPECT_FALSE(DecodeQuery("/v2/changes/5/10001/sample/0/-1/0/0"));
  EXPECT_FALSE(DecodeQuery("/v2/changes/5/0/other/0/-1/0/0"));
  EXPECT_FALSE(DecodeQuery("/v2/changes/5/0/sample/x/-1/0/0"));
  EXPECT_FALSE(DecodeQuery("/v2/changes/-2/0/sample/0/-1/0/0"));
}

}  // namespace
}  // namespace lynxglade::process::peers
