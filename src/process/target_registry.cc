#include "process/target_registry.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::process {

namespace {

using request::TargetState;

constexpr int kMaxViewDepth = 4;
// Newly known targets are published immediately only if they add at least 1/16
// to the index. Otherwise a large fleet would rebuild the index per target.
constexpr std::size_t kImmediatePublishDivisor = 16;

// The state in the body of a view item; empty if the body is malformed.
std::optional<TargetState> ReadState(const nlohmann::json& body) {
  const auto it = body.find("state");
  if (it == body.end() || !it->is_string()) {
    return std::nullopt;
  }
  const auto& text = it->get_ref<const std::string&>();
  for (TargetState state :
       {TargetState::kServing, TargetState::kDraining, TargetState::kLeaving,
        TargetState::kChanging, TargetState::kEjected}) {
    if (text == request::ToString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

std::string ReadText(const nlohmann::json& body, const char* name) {
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

// Copies role, model and version from the body of a view item.
void ApplyDescription(const nlohmann::json& body, request::Target& target) {
  request::ParseEngineRole(ReadText(body, "role"), &target.role);
  target.model = base::ModelName(ReadText(body, "model"));
  target.version = base::ModelVersion(ReadText(body, "version"));
}

void CopyRow(const ListedTarget& listed, request::Target& target) {
  const connection::TargetRow& row = listed.row;
  target.id = row.id;
  target.service = row.service;
  target.zone = row.zone;
  target.address = row.address;
  target.port = row.port;
  target.fenced = row.fenced;
  if (!listed.engine) {
    target.role = request::EngineRole::kPlain;
  }
}

}  // namespace

TargetRegistry::TargetRegistry()
    : index_(std::make_shared<const request::TargetIndex>()) {}

// --- Updates ----------------------------------------------------------------

void TargetRegistry::SetRows(const connection::InstanceTable& list) {
  std::lock_guard lock(mutex_);
  std::set<base::TargetId> listed;
  for (const auto* rows : {&list.engines, &list.plains}) {
    std::ranges::transform(*rows, std::inserter(listed, listed.end()),
                           &connection::TargetRow::id);
  }
  const std::size_t gone = std::erase_if(
      records_, [&](const auto& it) { return !listed.contains(it.first); });
  const bool engines = TakeRows(list.engines, /*engines=*/true);
  const bool plains = TakeRows(list.plains, /*engines=*/false);
  if (gone > 0 || engines || plains) {
    PublishLocked();
  }
}

bool TargetRegistry::TakeRows(const std::vector<connection::TargetRow>& rows,
                              bool engines) {
  bool changed = false;
  for (const connection::TargetRow& row : rows) {
    Record& record = records_[row.id];
    if (record.listed.row == row && record.listed.engine == engines) {
      continue;
    }
    changed = true;
    record.listed = {row, engines};
    CopyRow(record.listed, record.target);
    Refresh(record);
  }
  return changed;
}

bool TargetRegistry::OnLoad(const connection::LoadReport& report) {
  std::lock_guard lock(mutex_);
  const auto it = records_.find(report.target);
  if (it == records_.end()) {
    return false;
  }
  Record& record = it->second;
  const bool restarted =
      record.reported && record.incarnation != report.incarnation;
  const bool older =
      record.reported && !restarted && report.sequence <= record.sequence;
  if (older) {
    return false;
  }
  const bool first = !IsKnown(record);
  record.reported = true;
  record.incarnation = report.incarnation;
  record.sequence = report.sequence;
  record.reported_draining = report.draining;
  record.refused_state.reset();
  record.target.load = report.load;
  bool changed = false;
  if (record.listed.engine) {
    changed = record.target.role != report.role ||
              record.target.model != report.model ||
              record.target.version != report.version;
    record.target.role = report.role;
    record.target.model = report.model;
    record.target.version = report.version;
  }
  changed = Refresh(record) || changed;
  dirty_ = true;
  if (changed) {
    PublishChange(first);
  }
  return restarted;
}

void TargetRegistry::OnTargetView(const ViewItem& item) {
  const auto body = base::ParseBoundedJson(item.body, kMaxViewDepth);
  const auto state =
      body && body->is_object() ? ReadState(*body) : std::nullopt;
  if (!state) {
    return;
  }
  std::lock_guard lock(mutex_);
  const auto it = records_.find(base::TargetId(item.key));
  if (it == records_.end() || item.version <= it->second.view_version) {
    return;
  }
  it->second.view_version = item.version;
  it->second.view_state = *state;
  it->second.refused_state.reset();
  const bool first = !IsKnown(it->second);
  bool changed = Refresh(it->second);
  if (!it->second.reported && it->second.listed.engine) {
    changed = true;
    it->second.described_by_view = true;
    ApplyDescription(*body, it->second.target);
  }
  if (changed) {
    PublishChange(first);
  }
}

void TargetRegistry::OnTargetRefusal(const base::TargetId& id,
                                     TargetState state) {
  std::lock_guard lock(mutex_);
  const auto it = records_.find(id);
  if (it == records_.end()) {
    return;
  }
  it->second.refused_state = state;
  if (Refresh(it->second)) {
    PublishLocked();
  }
}

// --- Queries and publication ------------------------------------------------

void TargetRegistry::Publish() {
  std::lock_guard lock(mutex_);
  if (dirty_) {
    PublishLocked();
  }
}

std::shared_ptr<const request::TargetIndex> TargetRegistry::Index() const {
  return index_.load();
}

std::vector<ListedTarget> TargetRegistry::Rows() const {
  std::lock_guard lock(mutex_);
  std::vector<ListedTarget> rows;
  rows.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    rows.push_back(record.listed);
    rows.back().known = IsKnown(record);
  }
  return rows;
}

// An engine is not routable until a report or view names its role and model.
bool TargetRegistry::IsKnown(const Record& record) noexcept {
  return record.reported || record.described_by_view || !record.listed.engine;
}

TargetState TargetRegistry::StateOf(const Record& record) noexcept {
  if (record.listed.row.leaving) {
    return TargetState::kLeaving;
  }
  if (record.refused_state) {
    return *record.refused_state;
  }
  if (record.view_state != TargetState::kServing) {
    return record.view_state;
  }
  return record.reported_draining ? TargetState::kDraining
                                  : TargetState::kServing;
}

bool TargetRegistry::Refresh(Record& record) noexcept {
  const TargetState state = StateOf(record);
  return std::exchange(record.target.state, state) != state;
}

void TargetRegistry::PublishChange(bool first) {
  dirty_ = true;
  const std::size_t held = index_.load()->table().targets.size();
  if (!first || ++additions_ * kImmediatePublishDivisor >= held) {
    PublishLocked();
  }
}

void TargetRegistry::PublishLocked() {
  // Sorted by service, then id: the map iterates by id and the sort is stable.
  std::vector<const request::Target*> known;
  for (const auto& [id, record] : records_) {
    if (IsKnown(record)) {
      known.push_back(&record.target);
    }
  }
  std::ranges::stable_sort(known, {}, [](const request::Target* it) -> auto& {
    return it->service;
  });
  auto table = std::make_shared<request::TargetTable>();
  table->targets.reserve(known.size());
  std::ranges::transform(known, std::back_inserter(table->targets),
                         [](const request::Target* it) { return *it; });
  index_.store(std::make_shared<const request::TargetIndex>(std::move(table)));
  dirty_ = false;
  additions_ = 0;
}

}  // namespace lynxglade::process
