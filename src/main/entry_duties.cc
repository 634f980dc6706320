#include "main/entry_duties.h"

#include "base/random.h"
#include "connection/event/tasks.h"
#include "main/tcp_endpoint.h"
#include "platform/duty_calls.h"

namespace lynxglade {

namespace {

using connection::event::SpawnPermanent;
using process::usage::OriginId;
using process::usage::WallMillis;

}  // namespace

EntryDuties::EntryDuties(EntryDutiesDependencies deps,
                         const process::EntrySettings& settings,
                         const process::Endpoint& calls)
    : loop_(deps.loop),
      reports_usage_(settings.duties.contains(process::kUsageDuty)),
      orders_engines_(settings.duties.contains(process::kScalingDuty)),
      origin_(OriginId(settings.instance.str() + '/' +
                       base::RandomHexId(deps.random))),
      fleet_clock_(deps.clock, [] { return WallMillis(base::WallMillis()); }),
      sharing_(
          table_,
          fleet_clock_,
          deps.presence,
          deps.datagrams,
          [&holder = deps.holder] { return holder.Holder(); },
          {.instance = settings.instance, .origin = origin_},
          deps.clock),
      reporter_(
          deps.loop,
          deps.holder,
          deps.store,
          table_,
          fleet_clock_,
          [this, length = settings.usage_window](base::Time end) {
            return sharing_.MissingPart(end, length);
          },
          platform::MakeSendUsage(deps.loop, deps.channels, EndpointOf(calls)),
          {.instance = settings.instance,
           .window = settings.usage_window,
           .due = settings.usage_due,
           .timing = {.tolerance = settings.usage_tolerance}},
          deps.clock,
          deps.metrics),
      capacity_(deps.loop,
                deps.holder,
                deps.store,
                deps.engines,
                {.services = deps.scaled_services,
                 .view_age = deps.view_age,
                 .idle = deps.idle,
                 .send = platform::MakeSendCapacityOrder(deps.loop,
                                                         deps.channels,
                                                         EndpointOf(calls))},
                {.instance = settings.instance},
                deps.clock,
                deps.metrics) {}

void EntryDuties::Start() {
  if (reports_usage_) {
    sharing_.Start();
    SpawnPermanent(loop_, "usage_reports", [this] { return reporter_.Run(); });
  }
  if (orders_engines_) {
    SpawnPermanent(loop_, "capacity_orders",
                   [this] { return capacity_.Run(); });
  }
}

void EntryDuties::CountRun(const base::OrganisationId& organisation,
                           base::Time began) {
  if (!reports_usage_) {
    return;
  }
  table_.Count(origin_, reporter_.WindowAt(began), organisation);
}

}  // namespace lynxglade
