#include "request/passthrough/engine_table.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace lynxglade::request::passthrough {

namespace {

bool SameAddress(const Engine& a, const Engine& b) noexcept {
  return a.entry.port == b.entry.port && a.entry.ip == b.entry.ip;
}

bool IsRefuted(const Engine& engine, base::Time now) noexcept {
  const EngineHandle holder = engine.refuted_by.lock();
  return engine.misdirected_until > now || (holder && !holder->entry.draining);
}

// Of targets at one address, in the order of their entries. Without revisions
// there is no order.
void SetSuccessors(const std::vector<EngineHandle>& there) {
  EngineHandle successor;
  for (auto it = there.rbegin(); it != there.rend(); ++it) {
    if (it != there.rbegin() &&
        (*std::prev(it))->entry.written > (*it)->entry.written) {
      successor = *std::prev(it);
    }
    (*it)->successor = successor;
  }
}

// Whether a target says the same of itself.
bool SaysSame(const EngineEntry& a, EngineEntry b) {
  b.written = a.written;
  return a == b;
}

}  // namespace

std::string_view ToString(EngineStage stage) noexcept {
  switch (stage) {
    case EngineStage::kPrefill:
      return "prefill";
    case EngineStage::kDecode:
      return "decode";
    case EngineStage::kPlain:
      break;
  }
  return "plain";
}

void MarkMisdirected(Engine& engine,
                     int entry_changes,
                     const EngineHandle& holder,
                     base::Time now) noexcept {
  // Longer than most outages of the store; one stray request per period is
  // acceptable.
  constexpr base::Duration kMisdirectedBackoff = std::chrono::seconds(10);
  if (engine.entry_changes != entry_changes) {
    return;
  }
  // One that drains may be gone soon, and then refutes nothing.
  const bool refutes = holder && holder.get() != &engine &&
                       !holder->entry.draining && SameAddress(*holder, engine);
  if (refutes) {
    engine.refuted_by = holder;
  } else {
    engine.misdirected_until = now + kMisdirectedBackoff;
  }
}

bool HoldsAddress(const Engine& engine, base::Time now) noexcept {
  if (IsRefuted(engine, now)) {
    return false;
  }
  EngineHandle it = engine.successor.lock();
  while (it && IsRefuted(*it, now)) {
    it = it->successor.lock();
  }
  return !it;
}

bool HasFreshReport(const Engine& engine, base::Time now) noexcept {
  constexpr base::Duration kReportTtl = std::chrono::seconds(1);
  return now - engine.reported_at <= kReportTtl;
}

bool IsFull(const Engine& engine) noexcept {
  return engine.reported.running + engine.reported.waiting >=
         engine.entry.slots;
}

int KnownLoad(const Engine& engine, base::Time now) noexcept {
  const int reported = HasFreshReport(engine, now)
                           ? engine.reported.running + engine.reported.waiting
                           : 0;
  return std::max(engine.in_flight, reported);
}

EngineTable::EngineTable(base::Duration grace) : grace_(grace) {}

void EngineTable::Put(const EngineEntry& entry, base::Time now) {
  Upsert(entry, now);
  indexed_ = false;
}

void EngineTable::Remove(const base::TargetId& id, base::Time now) {
  MarkMissing(id, now);
  indexed_ = false;
}

void EngineTable::RemoveInvalid(const base::TargetId& id) {
  missing_.erase(id);
  Drop(id);
  indexed_ = false;
}

void EngineTable::Replace(const std::vector<EngineEntry>& entries,
                          base::Time now) {
  const base::Time joined = engines_.empty() ? base::Time{} : now;
  std::set<base::TargetId> listed;
  for (const EngineEntry& entry : entries) {
    listed.insert(entry.id);
    Upsert(entry, joined);
  }
  std::vector<base::TargetId> gone;
  for (const auto& [id, engine] : engines_) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  std::ranges::for_each(
      gone, [&](const base::TargetId& id) { MarkMissing(id, now); });
  indexed_ = false;
}

void EngineTable::Upsert(const EngineEntry& entry, base::Time joined) {
  missing_.erase(entry.id);
  EngineHandle& engine = engines_[entry.id];
  if (engine) {
    Unlink(engine);
  }
  if (engine && engine->entry.start_time != entry.start_time) {
    engine->entry.draining = true;
    engine = nullptr;
  }
  if (!engine) {
    engine = std::make_shared<Engine>();
    engine->stage_since = joined;
  } else if (engine->entry.stage != entry.stage) {
    engine->stage_since = joined;
  }
  if (!SaysSame(engine->entry, entry)) {
    ++engine->entry_changes;
    engine->misdirected_until = {};
    engine->refuted_by.reset();
  }
  engine->entry = entry;
  Link(engine);
}

void EngineTable::Link(const EngineHandle& engine) {
  auto& there = by_address_[{engine->entry.ip, engine->entry.port}];
  const auto written = [](const EngineHandle& it) { return it->entry.written; };
  there.insert(
      std::ranges::upper_bound(there, engine->entry.written, {}, written),
      engine);
  SetSuccessors(there);
}

void EngineTable::Unlink(const EngineHandle& engine) {
  const auto it = by_address_.find({engine->entry.ip, engine->entry.port});
  std::erase(it->second, engine);
  engine->successor.reset();
  if (it->second.empty()) {
    by_address_.erase(it);
  } else {
    SetSuccessors(it->second);
  }
}

void EngineTable::MarkMissing(const base::TargetId& id, base::Time now) {
  if (!engines_.contains(id)) {
    return;
  }
  const base::Time grace_end = store_recovered_at_ + grace_;
  if (store_recovered_at_ != base::Time{} && now < grace_end) {
    missing_.emplace(id, grace_end);
    return;
  }
  Drop(id);
}

void EngineTable::OnStoreRecovered(base::Time now) noexcept {
  store_recovered_at_ = now;
}

void EngineTable::Expire(base::Time now) {
  const std::size_t before = engines_.size();
  std::erase_if(missing_, [&](const auto& row) {
    if (now < row.second) {
      return false;
    }
    Drop(row.first);
    return true;
  });
  if (engines_.size() != before) {
    indexed_ = false;
  }
}

void EngineTable::UseLevels(SamplingLevels levels) {
  levels_ = std::move(levels);
  indexed_ = false;
}

EngineHandle EngineTable::FindByAddress(std::string_view ip,
                                        std::uint16_t port) const {
  const auto it = by_address_.find({std::string(ip), port});
  return it == by_address_.end() ? nullptr : it->second.back();
}

EngineHandle EngineTable::Find(const base::TargetId& id) const {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : it->second;
}

const std::vector<EngineHandle>& EngineTable::OfService(
    const base::ServiceName& service) const {
  static const std::vector<EngineHandle> none;
  if (!indexed_) {
    RebuildIndex();
  }
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

bool EngineTable::HasSpare(const base::ServiceName& service) const {
  return std::ranges::any_of(levels_.groups(), [&service](const auto& it) {
    return it.first.service == service;
  });
}

std::vector<EngineHandle> EngineTable::AllOfService(
    const base::ServiceName& service) const {
  std::vector<EngineHandle> found;
  for (const auto& [id, engine] : engines_) {
    if (engine->entry.service == service) {
      found.push_back(engine);
    }
  }
  return found;
}

std::vector<EngineHandle> EngineTable::All() const {
  std::vector<EngineHandle> all;
  std::ranges::transform(engines_, std::back_inserter(all),
                         [](const auto& it) { return it.second; });
  return all;
}

void EngineTable::ForEach(
    const std::function<void(const Engine&)>& visit) const {
  for (const auto& [id, engine] : engines_) {
    visit(*engine);
  }
}

std::size_t EngineTable::used() const {
  if (!indexed_) {
    RebuildIndex();
  }
  return std::accumulate(
      by_service_.begin(), by_service_.end(), std::size_t{0},
      [](std::size_t n, const auto& it) { return n + it.second.size(); });
}

// Requests in flight keep the engine object, which is marked as draining.
void EngineTable::Drop(const base::TargetId& id) {
  const auto it = engines_.find(id);
  if (it == engines_.end()) {
    return;
  }
  it->second->entry.draining = true;
  Unlink(it->second);
  engines_.erase(it);
}

// Not at each change: when hundreds of targets come at once, that would be as
// many passes over all of them.
void EngineTable::RebuildIndex() const {
  indexed_ = true;
  by_service_.clear();
  for (const auto& [id, engine] : engines_) {
    const EngineEntry& entry = engine->entry;
    if (levels_.Contains({entry.service, entry.zone}, id)) {
      by_service_[entry.service].push_back(engine);
    }
  }
}

}  // namespace lynxglade::request::passthrough
