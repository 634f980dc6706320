#include "process/order_journal.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/engine_admin_codec.h"

namespace lynxglade::process {

namespace {

using Json = nlohmann::json;
using connection::KvError;

constexpr const char* kJournalPrefix = "/lynxglade/journal/";
constexpr std::array<OrderPhase, 4> kPhases = {
    OrderPhase::kIntended, OrderPhase::kSent, OrderPhase::kObserved,
    OrderPhase::kFailed};

std::optional<JournalRecord> ReadRecord(const Json& json) {
  auto target = connection::DecodeTargetState(json.at("target"));
  const auto phase_name = json.at("phase").get<std::string>();
  const auto* const phase = std::ranges::find_if(
      kPhases, [&](auto p) { return ToString(p) == phase_name; });
  if (!target || phase == kPhases.end()) {
    return std::nullopt;
  }
  JournalRecord record;
  record.generation =
      base::Generation(json.at("generation").get<std::int64_t>());
  record.target = *std::move(target);
  record.phase = *phase;
  record.fence = base::FencingToken(json.at("fence").get<std::int64_t>());
  record.holder = base::InstanceId(json.at("holder").get<std::string>());
  record.attempts = json.at("attempts").get<int>();
  record.failures = json.at("failures").get<int>();
  if (json.contains("failed_target")) {
    record.failed_target =
        connection::DecodeTargetState(json.at("failed_target"));
  }
  record.failed_incarnation = json.at("failed_incarnation").get<std::string>();
  record.write_id = json.at("mark").get<std::string>();
  return record;
}

const connection::KvEntry* Find(const std::vector<connection::KvEntry>& found,
                                const std::string& key) {
  const auto it = std::ranges::find(found, key, &connection::KvEntry::key);
  return it == found.end() ? nullptr : &*it;
}

}  // namespace

std::string_view ToString(OrderPhase phase) noexcept {
  switch (phase) {
    case OrderPhase::kIntended:
      return "intended";
    case OrderPhase::kSent:
      return "sent";
    case OrderPhase::kObserved:
      return "observed";
    case OrderPhase::kFailed:
      break;
  }
  return "failed";
}

bool IsOpen(OrderPhase phase) noexcept {
  return phase == OrderPhase::kIntended || phase == OrderPhase::kSent;
}

std::string EncodeRecord(const JournalRecord& record) {
  Json json = {{"generation", record.generation.value()},
               {"target", connection::EncodeTargetState(record.target)},
               {"phase", std::string(ToString(record.phase))},
               {"fence", record.fence.value()},
               {"holder", record.holder.str()},
               {"attempts", record.attempts},
               {"failures", record.failures},
               {"failed_incarnation", record.failed_incarnation},
               {"mark", record.write_id}};
  if (record.failed_target) {
    json["failed_target"] =
        connection::EncodeTargetState(*record.failed_target);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<JournalRecord> DecodeRecord(const std::string& text) {
  try {
    return ReadRecord(Json::parse(text));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string JournalKey(const base::TargetId& target) {
  return kJournalPrefix + target.str();
}

OrderJournal::OrderJournal(const base::TargetId& target)
    : key_(JournalKey(target)) {}

bool OrderJournal::Load(const std::optional<connection::KvEntry>& entry) {
  Reset();
  if (entry) {
    record_ = DecodeRecord(entry->value);
    mod_revision_ = entry->mod_revision;
  }
  loaded_ = !entry || record_;
  return loaded_;
}

void OrderJournal::Reset() {
  loaded_ = false;
  record_.reset();
  pending_.reset();
  mod_revision_ = base::Revision(0);
}

JournalCommit OrderJournal::Write(const JournalRecord& record,
                                  const std::string& lease_key,
                                  base::FencingToken fence) {
  if (!pending_) {
    pending_ = record;
    pending_lease_key_ = lease_key;
    pending_fence_ = fence;
  }
  JournalCommit commit;
  // The lease key is written once, so its mod revision is its create revision.
  commit.guards = {{pending_lease_key_, base::Revision(pending_fence_.value())},
                   {key_, mod_revision_}};
  commit.writes = {{key_, EncodeRecord(*pending_), connection::KvLeaseId(0)}};
  return commit;
}

JournalWriteResult OrderJournal::OnCommit(
    const std::optional<connection::KvTxnResult>& result,
    KvError error) {
  if (!result) {
    const bool unknown =
        error == KvError::kAmbiguous || error == KvError::kBadAnswer;
    return unknown ? JournalWriteResult::kReadBack : JournalWriteResult::kRetry;
  }
  if (result->committed) {
    record_ = std::exchange(pending_, std::nullopt);
    mod_revision_ = result->revision;
    return JournalWriteResult::kStored;
  }
  const auto* const lease = Find(result->found, pending_lease_key_);
  const bool lease_held =
      lease && lease->mod_revision.value() == pending_fence_.value();
  // Load the record even if the lease is lost: an earlier copy of this write,
  // whose answer was lost, may have stored it.
  const JournalWriteResult outcome = LoadStored(Find(result->found, key_));
  return lease_held ? outcome : JournalWriteResult::kLeaseLost;
}

JournalWriteResult OrderJournal::OnReadBack(
    const std::optional<connection::KvRange>& range) {
  if (!range) {
    return JournalWriteResult::kReadBack;
  }
  const auto* const entry = Find(range->entries, key_);
  const base::Revision found = entry ? entry->mod_revision : base::Revision(0);
  if (found == mod_revision_) {
    // Not stored, but the write may still arrive. Repeating it is safe: the
    // revision guard lets only one copy succeed.
    return JournalWriteResult::kRetry;
  }
  return LoadStored(entry);
}

JournalWriteResult OrderJournal::LoadStored(const connection::KvEntry* entry) {
  const std::string write_id = pending_ ? pending_->write_id : std::string();
  const bool readable = Load(entry ? std::optional(*entry) : std::nullopt);
  const bool own = readable && record_ && record_->write_id == write_id;
  return own ? JournalWriteResult::kStored : JournalWriteResult::kConflict;
}

}  // namespace lynxglade::process
