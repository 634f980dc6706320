// The duties that an entry instance performs while it holds them, and its part
// in them while another instance does.
#ifndef LYNXGLADE_MAIN_ENTRY_DUTIES_H_
#define LYNXGLADE_MAIN_ENTRY_DUTIES_H_

#include <functional>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/channel_pool.h"
#include "process/capacity/capacity_orders.h"
#include "process/duties/duty_holder.h"
#include "process/entry_settings.h"
#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "process/store/store_port.h"
#include "process/usage/fleet_clock.h"
#include "process/usage/usage_reporter.h"
#include "process/usage/usage_sharing.h"
#include "process/usage/usage_table.h"

namespace lynxglade {

// Parts of the process that the duties use; all must outlive them.
struct EntryDutiesDependencies {
  connection::event::asio::io_context& loop;
  connection::event::ChannelPool& channels;
  process::store::StorePort& store;
  const process::peers::InstancePresence& presence;
  process::peers::PeerDatagrams& datagrams;
  process::duties::DutyHolder& holder;
  const request::passthrough::EngineTable& engines;
  // Terms of the services whose number of engines can be changed.
  std::function<
      std::map<base::ServiceName, request::passthrough::ScalingTerms>()>
      scaled_services;
  // Age of the view of the engines.
  std::function<base::Duration()> view_age;
  // Whether this instance has received no request for a while.
  std::function<bool()> idle;
  base::Clock clock;
  base::RandomSource random;
  base::Metrics& metrics;
};

// Not thread-safe: runs on the event loop.
class EntryDuties {
 public:
  // `calls` is the address of the platform's calls.
  EntryDuties(EntryDutiesDependencies deps,
              const process::EntrySettings& settings,
              const process::Endpoint& calls);
  EntryDuties(const EntryDuties&) = delete;
  EntryDuties& operator=(const EntryDuties&) = delete;

  void Start();
  void Stop() noexcept {
    reporter_.Stop();
    capacity_.Stop();
  }

  // Take a listing, and a change, of the keys that instances write.
  void OnList(const std::vector<process::store::StoreItem>& items) {
    reporter_.OnList(items);
  }
  void OnChange(const process::store::StoreItem& item) {
    reporter_.OnChange(item);
  }

  // A target began to run a request of the organisation.
  void CountRun(const base::OrganisationId& organisation, base::Time began);

 private:
  connection::event::asio::io_context& loop_;
  // The duties that the platform expects.
  const bool reports_usage_;
  const bool orders_engines_;
  const process::usage::OriginId origin_;
  process::usage::UsageTable table_;
  process::usage::FleetClock fleet_clock_;
  process::usage::UsageSharing sharing_;
  process::usage::UsageReporter reporter_;
  process::capacity::CapacityOrders capacity_;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_ENTRY_DUTIES_H_
