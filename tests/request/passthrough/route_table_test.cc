#include "request/passthrough/route_table.h"

#include <map>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.shares = {{base::ServiceName("s"), 1}};
  return route;
}

RouteTable MakeTable() {
  return RouteTable(7,
                    {MakeRoute("root", "a.example", "/"),
                     MakeRoute("short", "a.example", "/p/"),
                     MakeRoute("long", "a.example", "/p/q/"),
                     MakeRoute("other", "b.example", "/p/")},
                    {}, {});
}

TEST(RouteTable, FindsTheLongestPrefixOfTheHost) {
  const RouteTable table = MakeTable();
  EXPECT_EQ(table.Find("a.example", "/p/q/x")->name, "long");
  EXPECT_EQ(table.Find("a.example", "/p/x")->name, "short");
  EXPECT_EQ(table.Find("a.example", "/x")->name, "root");
  EXPECT_EQ(table.Find("b.example", "/p/q/x")->name, "other");
  EXPECT_EQ(table.Find("b.example", "/x"), nullptr);
  EXPECT_EQ(table.Find("c.example", "/p/x"), nullptr);
}

TEST(RouteTable, PrefixEndsAtASlash) {
  const RouteTable table = MakeTable();
  EXPECT_EQ(table.Find("a.example", "/p/qq/x")->name, "short");
  EXPECT_EQ(table.Find("b.example", "/pp/x"), nullptr);
}

TEST(RouteTable, IgnoresCaseAndPortOfTheHost) {
  const RouteTable table = MakeTable();
  EXPECT_EQ(table.Find("A.Example:8080", "/p/x")->name, "short");
}

TEST(RouteTable, CanRetryFollowsFromTheKind) {
  Route route;
  route.kind = RouteKind::kIdempotent;
  EXPECT_TRUE(route.CanRetry());
  route.kind = RouteKind::kNonIdempotent;
  EXPECT_FALSE(route.CanRetry());
  route.resumable = true;
  EXPECT_FALSE(route.CanRetry());
  route.kind = RouteKind::kStream;
  EXPECT_TRUE(route.CanRetry());
  route.resumable = false;
  EXPECT_FALSE(route.CanRetry());
}

TEST(RouteTable, NoServiceWithoutWeight) {
  Route route;
  EXPECT_EQ(RouteTable::PickService(route, 5), nullptr);
  route.shares = {{base::ServiceName("a"), 0}};
  EXPECT_EQ(RouteTable::PickService(route, 5), nullptr);
}

RC_GTEST_PROP(RouteTable, SharesGetRequestsByWeight, ()) {
  Route route;
  const auto weights = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50)));
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    route.shares.push_back({base::ServiceName(std::to_string(i)),
                            static_cast<std::uint32_t>(weights[i])});
    total += static_cast<std::uint64_t>(weights[i]);
  }
  RC_PRE(total > 0);
  std::map<std::string, int> seen;
  for (std::uint64_t point = 0; point < total; ++point) {
    ++seen[RouteTable::PickService(route, point)->str()];
  }
  for (std::size_t i = 0; i < weights.size(); ++i) {
    RC_ASSERT(seen[std::to_string(i)] == weights[i]);
  }
}

}  // namespace
}  // namespace lynxglade::request::passthrough
