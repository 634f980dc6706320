#include "main/entry_views.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "platform/store_documents.h"

namespace lynxglade {

namespace {

using base::Log;
using base::LogLevel;
using process::store::StoreItem;
using request::passthrough::EngineEntry;

// Time for targets to write their entries again that expired during an outage
// of the store.
constexpr base::Duration kEntryGrace = std::chrono::milliseconds(2000);
// Heartbeats for which an entry outlives the last answer of the store before an
// outage: it expires after three, and the last one may be more than one old.
constexpr double kMinHeartbeatsLeft = 1.75;

std::optional<EngineEntry> ParseEntry(const StoreItem& item,
                                      platform::DocumentFault* fault) {
  auto entry = platform::ParseTargetEntry(item.key, item.value, fault);
  if (entry) {
    entry->written = item.revision;
  }
  return entry;
}

}  // namespace

EntryViews::EntryViews(base::Clock clock,
                       base::Metrics& metrics,
                       EntryViewsOptions options)
    : clock_(std::move(clock)),
      metrics_(metrics),
      options_(options),
      engines_(kEntryGrace) {}

process::store::PrefixFollowerHooks EntryViews::ConfigurationHooks() {
  return {
      .on_list =
          [this](const std::vector<StoreItem>& items) {
            std::ranges::for_each(
                items, [this](const StoreItem& it) { OnConfiguration(it); });
          },
      .on_change = [this](const StoreItem& it) { OnConfiguration(it); },
      .on_recovered = [](base::Duration) {},
  };
}

process::store::PrefixFollowerHooks EntryViews::TargetHooks() {
  return {
      .on_list =
          [this](const std::vector<StoreItem>& items) { OnTargetList(items); },
      .on_change = [this](const StoreItem& it) { OnTarget(it); },
      .on_recovered =
          [this](base::Duration silence) {
            // What a shorter outage leaves missing was removed.
            if (silence >= kMinHeartbeatsLeft * options_.target_heartbeat) {
              engines_.OnStoreRecovered(clock_());
            }
          },
  };
}

std::optional<process::peers::ItemTarget> EntryViews::Classify(
    const StoreItem& item) {
  if (!item.key.starts_with(platform::kTargetsPrefix)) {
    return std::nullopt;
  }
  platform::DocumentFault fault;
  auto entry = ParseEntry(item, &fault);
  if (!entry) {
    return std::nullopt;
  }
  return process::peers::ItemTarget{
      std::move(entry->id),
      {std::move(entry->service), std::move(entry->zone)}};
}

void EntryViews::UseLevels(const request::passthrough::SamplingLevels& levels) {
  for (const auto& [group, level] : levels.groups()) {
    Log(LogLevel::kInfo, "target_sample",
        {{"service", group.service.str()},
         {"zone", group.zone.str()},
         {"level", level}});
  }
  engines_.UseLevels(levels);
}

void EntryViews::OnConfiguration(const StoreItem& item) {
  if (item.key != platform::kConfigurationKey || item.deleted) {
    return;
  }
  platform::DocumentFault fault;
  auto table = platform::ParseConfiguration(item.value, &fault);
  if (!table) {
    Log(LogLevel::kError, "configuration_refused",
        {{"revision", item.revision.value()},
         {"kind", ToString(fault.kind)},
         {"reason", fault.detail}});
    return;
  }
  // Rereading the list returns the configuration that is already in force.
  if (routes_ && table->version() == routes_->version()) {
    return;
  }
  if (routes_ && table->version() < routes_->version()) {
    Log(LogLevel::kInfo, "configuration_not_newer",
        {{"version", table->version()},
         {"revision", item.revision.value()},
         {"in_force", routes_->version()}});
    return;
  }
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", table->version()},
       {"revision", item.revision.value()},
       {"routes", table->size()}});
  routes_ = std::move(table);
}

void EntryViews::OnTarget(const StoreItem& item) {
  const base::TargetId id = platform::TargetIdFromKey(item.key);
  if (item.deleted) {
    Log(LogLevel::kInfo, "target_gone",
        {{"target", id.str()}, {"revision", item.revision.value()}});
    rejected_.erase(item.key);
    engines_.Remove(id, clock_());
    return;
  }
  platform::DocumentFault fault;
  const auto entry = ParseEntry(item, &fault);
  if (!entry) {
    RecordRejected(item, fault);
    engines_.RemoveInvalid(id);
    return;
  }
  rejected_.erase(item.key);
  Log(LogLevel::kInfo, "target_entry",
      {{"target", entry->id.str()},
       {"service", entry->service.str()},
       {"zone", entry->zone.str()},
       {"stage", ToString(entry->stage)},
       {"draining", entry->draining},
       {"born", entry->start_time ? entry->start_time->value() : -1},
       {"revision", item.revision.value()}});
  engines_.Put(*entry, clock_());
}

void EntryViews::OnTargetList(const std::vector<StoreItem>& items) {
  std::vector<EngineEntry> entries;
  std::vector<base::TargetId> rejected;
  const auto previously_rejected = std::exchange(rejected_, {});
  for (const StoreItem& item : items) {
    platform::DocumentFault fault;
    const auto entry = ParseEntry(item, &fault);
    if (entry) {
      entries.push_back(*entry);
      continue;
    }
    rejected.push_back(platform::TargetIdFromKey(item.key));
    const auto it = previously_rejected.find(item.key);
    if (it != previously_rejected.end() && it->second == item.revision) {
      rejected_.insert(*it);
    } else {
      RecordRejected(item, fault);
    }
  }
  engines_.Replace(entries, clock_());
  std::ranges::for_each(rejected, [this](const base::TargetId& id) {
    engines_.RemoveInvalid(id);
  });
  targets_listed_ = true;
  Log(LogLevel::kInfo, "targets_listed",
      {{"targets", entries.size()}, {"refused", rejected.size()}});
}

void EntryViews::RecordRejected(const StoreItem& item,
                                const platform::DocumentFault& fault) {
  rejected_[item.key] = item.revision;
  metrics_
      .GetCounter("lynxglade_target_entries_refused_total",
                  {{"reason", std::string(ToString(fault.kind))}})
      .Add();
  Log(LogLevel::kWarning, "target_entry_refused",
      {{"key", item.key},
       {"revision", item.revision.value()},
       {"kind", ToString(fault.kind)},
       {"reason", fault.detail}});
}

}  // namespace lynxglade
