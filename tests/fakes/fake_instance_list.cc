#include "fakes/fake_instance_list.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxglade::fakes {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxEditions = 1000;

json BodyOf(std::int64_t revision, const json& rows) {
  return {{"revision", revision}, {"instances", rows}};
}

bool HasId(const json& row, const std::string& id) {
  return row.is_object() && row.value("id", "") == id;
}

}  // namespace

FakeInstanceList::FakeInstanceList(base::Clock clock, base::Duration lag)
    : clock_(std::move(clock)), lag_(lag) {
  editions_.push_back({clock_(), 1, json::array()});
}

void FakeInstanceList::Replace(json rows) {
  const std::lock_guard lock(mutex_);
  Publish(std::move(rows));
}

void FakeInstanceList::Change(const std::string& id, const json& changes) {
  const std::lock_guard lock(mutex_);
  const json& now = editions_.back().rows;
  const auto it = std::ranges::find_if(
      now, [&](const json& row) { return HasId(row, id); });
  json row = it == now.end() ? json{{"id", id}} : *it;
  row.update(changes);
  json rows = RowsWithout(id);
  rows.push_back(std::move(row));
  Publish(std::move(rows));
}

void FakeInstanceList::Remove(const std::string& id) {
  const std::lock_guard lock(mutex_);
  Publish(RowsWithout(id));
}

void FakeInstanceList::set_lag(base::Duration lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

json FakeInstanceList::Lagging() const {
  const std::lock_guard lock(mutex_);
  const base::Time latest = clock_() - lag_;
  const auto it =
      std::find_if(editions_.rbegin(), editions_.rend(),
                   [latest](const Edition& e) { return e.at <= latest; });
  const Edition& seen = it == editions_.rend() ? editions_.front() : *it;
  return BodyOf(seen.revision, seen.rows);
}

json FakeInstanceList::Latest() const {
  const std::lock_guard lock(mutex_);
  return BodyOf(editions_.back().revision, editions_.back().rows);
}

void FakeInstanceList::Publish(json rows) {
  const std::int64_t next = editions_.back().revision + 1;
  editions_.push_back({clock_(), next, std::move(rows)});
  if (editions_.size() > kMaxEditions) {
    editions_.pop_front();
  }
}

json FakeInstanceList::RowsWithout(const std::string& id) const {
  json rows = json::array();
  std::ranges::copy_if(editions_.back().rows, std::back_inserter(rows),
                       [&](const json& row) { return !HasId(row, id); });
  return rows;
}

}  // namespace lynxglade::fakes
