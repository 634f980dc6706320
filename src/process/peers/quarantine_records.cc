#include "process/peers/quarantine_records.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/log.h"
#include "connection/event/sleep.h"
#include "connection/event/tasks.h"

namespace lynxglade::process::peers {

namespace {

namespace asio = connection::event::asio;
using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
using nlohmann::json;
using request::ContentHash;
using store::StoreFault;

}  // namespace

std::string EncodeQuarantineRecord(const ViewItem& item) {
  return json{{"epoch", item.version.epoch},
              {"sequence", item.version.sequence},
              {"mark", item.body}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ViewItem> DecodeQuarantineRecord(const std::string& key,
                                               const std::string& value,
                                               base::Time now) {
  const json record = base::ParseBoundedJson(value).value_or(json());
  const auto is_number = [&record](const char* name) {
    return record.contains(name) && record[name].is_number_unsigned();
  };
  if (!record.is_object() || !is_number("epoch") || !is_number("sequence") ||
      !record.contains("mark") || !record["mark"].is_string()) {
    return std::nullopt;
  }
  ViewItem item;
  item.kind = ViewKind::kQuarantine;
  item.key = key.substr(key.rfind('/') + 1);
  item.version = {record["epoch"].get<std::uint64_t>(),
                  record["sequence"].get<std::uint64_t>()};
  item.as_of = now;
  item.body = record["mark"].get<std::string>();
  return item;
}

QuarantineRecords::QuarantineRecords(asio::io_context& loop,
                                     store::StorePort& store,
                                     QuarantineRecordsHooks hooks,
                                     QuarantineRecordsOptions options,
                                     base::Clock clock,
                                     base::Metrics& metrics)
    : loop_(loop),
      store_(store),
      hooks_(std::move(hooks)),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

void QuarantineRecords::OnVerdict(ContentHash content) {
  if (waiting_.size() >= options_.max_waiting) {
    Count("dropped");
    Log(LogLevel::kWarning, "quarantine_record_dropped",
        {{"content", ToHex(content)}});
    return;
  }
  waiting_.push_back(content);
  if (!std::exchange(writing_, true)) {
    connection::event::Spawn(loop_, "quarantine_records", WriteAll(),
                             [this] { writing_ = false; });
  }
}

Awaitable<void> QuarantineRecords::WriteAll() {
  while (!waiting_.empty()) {
    const ContentHash content = waiting_.front();
    bool written = false;
    for (int i = 0; i < options_.max_attempts && !written; ++i) {
      if (i > 0) {
        co_await SleepFor(loop_, options_.retry_interval);
      }
      written = co_await Write(content);
    }
    waiting_.pop_front();
    Count(written ? "written" : "not_written");
    Log(written ? LogLevel::kInfo : LogLevel::kWarning, "quarantine_record",
        {{"content", ToHex(content)}, {"written", written}});
  }
}

// True as well if there is nothing to write any more.
Awaitable<bool> QuarantineRecords::Write(ContentHash content) {
  const auto item = hooks_.read(content);
  if (!item) {
    co_return true;
  }
  StoreFault fault{};
  const auto lease = co_await store_.GrantLease(
      std::clamp(hooks_.time_left(content), options_.min_ttl, options_.max_ttl),
      &fault);
  if (!lease) {
    co_return false;
  }
  const std::string key = options_.prefix + ToHex(content);
  const auto created = co_await store_.Create(
      key, EncodeQuarantineRecord(*item), *lease, &fault);
  if (created || fault != StoreFault::kConflict) {
    co_return created.has_value();
  }
  // Another instance has written the verdict, or a call without a response; or
  // there is the record of an earlier quarantine.
  const auto existing = co_await store_.Get(key, &fault);
  const auto record =
      existing && !existing->deleted
          ? DecodeQuarantineRecord(key, existing->value, clock_())
          : std::nullopt;
  if (!record || record->version.epoch >= item->version.epoch) {
    co_return record.has_value();
  }
  const auto updated = co_await store_.Update(
      key, EncodeQuarantineRecord(*item), *lease, existing->revision, &fault);
  co_return updated.has_value();
}

void QuarantineRecords::OnList(const std::vector<store::StoreItem>& items) {
  auto missing = known_;
  for (const store::StoreItem& it : items) {
    if (const auto content = ContentOf(it.key)) {
      missing.erase(*content);
      OnChange(it);
    }
  }
  for (const auto& [content, epoch] : missing) {
    OnRemoved(content, epoch);
  }
}

void QuarantineRecords::OnChange(const store::StoreItem& item) {
  const auto content = ContentOf(item.key);
  if (!content) {
    return;
  }
  const auto known = known_.find(*content);
  if (item.deleted) {
    if (known != known_.end()) {
      OnRemoved(*content, known->second);
    }
    return;
  }
  const auto record = DecodeQuarantineRecord(item.key, item.value, clock_());
  if (!record) {
    Log(LogLevel::kWarning, "quarantine_record_malformed",
        {{"content", ToHex(*content)}});
    return;
  }
  // Its times are relative to the first reading.
  if (known == known_.end() || known->second != record->version.epoch) {
    known_[*content] = record->version.epoch;
    hooks_.merge(*record);
  }
}

void QuarantineRecords::OnRemoved(ContentHash content, std::uint64_t epoch) {
  known_.erase(content);
  const auto mark = hooks_.read(content);
  if (mark && mark->version.epoch == epoch) {
    hooks_.lift(content);
  }
}

std::optional<ContentHash> QuarantineRecords::ContentOf(
    const std::string& key) const {
  return key.starts_with(options_.prefix)
             ? request::ParseContentHash(
                   std::string_view(key).substr(options_.prefix.size()))
             : std::nullopt;
}

void QuarantineRecords::Count(const char* outcome) {
  metrics_
      .GetCounter("lynxglade_quarantine_records_total", {{"outcome", outcome}})
      .Add();
}

}  // namespace lynxglade::process::peers
