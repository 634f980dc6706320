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
  started_at_ = hooks_.clock();
  list_task_ = std::make_unique<PeriodicTask>(options_.list_interval,
                                              [this] { RefreshList(); });
  LoadPollerHooks poller;
  poller.targets = [this] { return OwnSlice(); };
  poller.fetch = hooks_.fetch;
  poller.on_report = [this](const connection::LoadReport& report) {
    OnPolledReport(report);
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
      // The age of a fact does not depend on the clocks of other hosts.
      report->load.as_of = std::min(report->load.as_of, item.as_of);
      hooks_.on_load(*report);
    }
  }
}

bool FleetWatch::Ready() const {
  if (!list_known_) {
    return false;
  }
  if (hooks_.clock() - started_at_ >= options_.readiness_timeout) {
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
        const bool owned = listed.row.zone == options_.zone &&
                           slices.OwnerOf(listed.row.id) == options_.instance;
        return owned || !listed.known;
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
    published_revision_ = base::Revision(0);
  }
  if (confirmed || changed) {
    registry_.SetRows(*ApplyNewerFacts(list_.Get(), facts_));
  }
  if (confirmed) {
    PublishList();
  }
  // Facts arrive in batches; the list counts as complete once a refresh finds
  // no new ones.
  if (!list_known_) {
    const bool complete_from_peers = !changed && !registry_.Rows().empty();
    list_known_ = list_.Get()->revision.value() > 0 || complete_from_peers;
  }
}

void FleetWatch::PublishList() {
  const connection::InstanceList::Handle list = list_.Get();
  if (hooks_.clock() - started_at_ < options_.publish_after ||
      !hooks_.should_publish_list() || list->revision == published_revision_) {
    return;
  }
  const std::vector<ViewItem> new_facts =
      FactsToPublish(*list, facts_, options_.publish_limit);
  std::ranges::for_each(new_facts, hooks_.publish);
  if (new_facts.empty()) {
    published_revision_ = list->revision;
  }
}

void FleetWatch::OnPolledReport(const connection::LoadReport& report) {
  hooks_.on_load(report);
  ViewItem item;
  item.kind = ViewKind::kLoad;
  item.key = report.target.str();
  // The target's clock orders its reports across restarts.
  item.version = {0, static_cast<std::uint64_t>(report.created_ms)};
  item.as_of = report.load.as_of;
  item.body = connection::EncodeLoadReport(report);
  hooks_.publish(std::move(item));
}

}  // namespace lynxglade::process
