#include "main/entry_duties.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/random.h"
#include "platform/duty_calls.h"

namespace lynxglade {

namespace {

namespace asio = connection::event::asio;
using process::usage::OriginId;
using process::usage::WallMillis;

}  // namespace

EntryDuties::EntryDuties(EntryDutiesDependencies deps,
                         const process::EntrySettings& settings,
                         const process::Endpoint& calls)
    : loop_(deps.loop),
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
          deps.clock,
          deps.metrics),
      reporter_(
          deps.loop,
          deps.holder,
          deps.store,
          table_,
          fleet_clock_,
          [this, length = settings.usage_window](base::Time end) {
            return sharing_.MissingPart(end, length);
          },
          platform::MakeSendUsage(deps.loop,
                                  deps.channels,
                                  {asio::ip::make_address(calls.address),
                                   static_cast<std::uint16_t>(calls.port)}),
          {.instance = settings.instance,
           .window = settings.usage_window,
           .due = settings.usage_due,
           .timing = {.tolerance = settings.usage_tolerance}},
          deps.clock,
          deps.metrics) {}

void EntryDuties::Start() {
  sharing_.Start();
  asio::co_spawn(loop_, reporter_.Run(), asio::detached);
}

void EntryDuties::CountRun(const base::OrganisationId& organisation,
                           base::Time began) {
  table_.Count(origin_, reporter_.WindowAt(began), organisation);
}

}  // namespace lynxglade
