#include "process/fleet_watch.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lynxglade::process {

FleetWatch::FleetWatch(FleetWatchOptions options,
                       FleetWatchHooks hooks,
                       connection::InstanceList& list,
                       TargetRegistry& registry,
                       base::Metrics& metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      list_(list),
      registry_(registry),
      metrics_(metrics) {}

FleetWatch::~FleetWatch() {
  Stop();
}

void FleetWatch::Start() {
  started_ = hooks_.clock();
  list_task_ = std::make_unique<PeriodicTask>(options_.list_interval,
                                              [this] { RefreshList(); });
  LoadPollerHooks poller;
  poller.targets = [this] { return OwnSlice(); };
  poller.fetch = hooks_.fetch;
  poller.on_report = [this](const connection::LoadReport& report) {
    OnPolled(report);
  };
  poller_ = std::make_unique<LoadPoller>(options_.poller, std::move(poller));
}

void FleetWatch::Stop() {
  poller_.reset();
  list_task_.reset();
}

void FleetWatch::OnFact(const ViewItem& item) {
  if (item.kind == ViewKind::kTarget) {
    registry_.OnTargetView(item);
  } else if (item.kind == ViewKind::kListed) {
    facts_changed_ = true;
  } else if (item.kind == ViewKind::kLoad) {
    auto report = connection::ParseLoadReport(item.body, hooks_.clock());
    if (report) {
      // The fact's own age is measured by receivers, without clocks of others.
      report->load.as_of = std::min(report->load.as_of, item.as_of);
      hooks_.on_load(*report);
    }
  }
}

bool FleetWatch::Ready() const {
  if (!list_known_) {
    return false;
  }
  if (hooks_.clock() - started_ >= options_.readiness_timeout) {
    return true;
  }
  const std::vector<ListedTarget> rows = registry_.Rows();
  return !rows.empty() &&
         std::ranges::all_of(rows, [&](const ListedTarget& listed) {
           return listed.known || listed.row.zone != options_.zone;
         });
}

std::vector<ListedTarget> FleetWatch::OwnSlice() const {
  std::vector<SliceMember> members;
  std::ranges::transform(
      hooks_.zone_members(), std::back_inserter(members),
      [](const base::InstanceId& id) { return SliceMember{id, 1.0}; });
  const Slices slices(std::move(members));
  const std::vector<ListedTarget> rows = registry_.Rows();
  std::vector<ListedTarget> out;
  std::ranges::copy_if(
      rows, std::back_inserter(out), [&](const ListedTarget& listed) {
        const bool mine = listed.row.zone == options_.zone &&
                          slices.OwnerOf(listed.row.id) == options_.instance;
        return mine || !listed.known;
      });
  return out;
}

void FleetWatch::RefreshList() {
  connection::PlatformError error{};
  const bool confirmed = list_.Refresh(&error);
  if (!confirmed) {
    metrics_
        .GetCounter("lynxglade_instance_list_failures_total",
                    {{"reason", std::string(connection::ToString(error))}})
        .Add();
  }
  const bool changed = facts_changed_.exchange(false);
  if (changed) {
    facts_ = hooks_.listed_facts();
    told_ = base::Revision(0);
  }
  if (confirmed || changed) {
    registry_.SetRows(*WithNewerFacts(list_.Get(), facts_));
  }
  if (confirmed) {
    TellOfList();
  }
  // Facts come in batches; as long as they do, more may be missing.
  if (!list_known_) {
    const bool whole_from_peers = !changed && !registry_.Rows().empty();
    list_known_ = list_.Get()->revision.value() > 0 || whole_from_peers;
  }
}

void FleetWatch::TellOfList() {
  const connection::InstanceList::Handle list = list_.Get();
  if (hooks_.clock() - started_ < options_.publish_after ||
      !hooks_.should_publish_list() || list->revision == told_) {
    return;
  }
  const std::vector<ViewItem> news =
      FactsToPublish(*list, facts_, options_.publish_limit);
  std::ranges::for_each(news, hooks_.publish);
  if (news.empty()) {
    told_ = list->revision;
  }
}

void FleetWatch::OnPolled(const connection::LoadReport& report) {
  hooks_.on_load(report);
  ViewItem item;
  item.kind = ViewKind::kLoad;
  item.key = report.target.str();
  // A target's own clock orders its reports over restarts.
  item.version = {0, static_cast<std::uint64_t>(report.made_ms)};
  item.as_of = report.load.as_of;
  item.body = connection::EncodeLoadReport(report);
  hooks_.publish(std::move(item));
}

}  // namespace lynxglade::process
