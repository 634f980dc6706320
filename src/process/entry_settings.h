// Settings of an entry instance whose store holds the targets and the
// configuration (`lynxgladed entry`). Each is a flag with an environment
// variable.
#ifndef LYNXGLADE_PROCESS_ENTRY_SETTINGS_H_
#define LYNXGLADE_PROCESS_ENTRY_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "process/endpoint.h"
#include "process/settings_fault.h"

namespace lynxglade::process {

// Names of duties in EntrySettings::duties.
inline constexpr char kUsageDuty[] = "usage";
inline constexpr char kScalingDuty[] = "scaling";

struct EntrySettings {
  base::InstanceId instance;
  base::ZoneId zone;
  // Listener for callers.
  Endpoint listen;
  // Listener for readiness checks and metrics.
  Endpoint health_listen;
  Endpoint store;
  // Listener for messages of other instances; published in the store.
  std::optional<Endpoint> peer_listen;
  // Rate of this instance's link, in Mbit/s; 0 if unknown. Instances with
  // faster links relay for the others.
  double link_mbps = 0;
  // Rate of the store's link, in Mbit/s. Bounds how many instances list the
  // store at once.
  double store_link_mbps = 1000;
  base::LogLevel log_level = base::LogLevel::kInfo;
  std::size_t max_connections = 1500;
  // Maximum time from SIGTERM to exit.
  base::Duration stop_grace = std::chrono::seconds(8);
  // Time from acquiring the authority over engines to the first order.
  base::Duration order_takeover_delay = std::chrono::milliseconds(4500);
  // The platform's minimum gap between calls of two holders of the duties.
  base::Duration holder_gap = std::chrono::seconds(3);
  // Interval at which targets write their entries to the store. An entry
  // expires after three intervals without a write.
  base::Duration target_heartbeat = std::chrono::milliseconds(1200);
  // Calls to the platform that one instance at a time makes; without the
  // address none are made.
  std::optional<Endpoint> duty_calls;
  // The duties that the platform expects.
  std::set<std::string> duties;
  // Length of the windows of usage reports, and the time after the end of a
  // window by which its report must have arrived.
  base::Duration usage_window = std::chrono::seconds(5);
  base::Duration usage_due = std::chrono::seconds(10);
  // Relative error of a count that the platform tolerates.
  double usage_tolerance = 0.05;
  // Minimum fraction of a service's engines that decode; the others prefill.
  double decode_share = 0.25;
  // Retry budget of all instances together, in a sliding window: ratio times
  // the requests, plus the allowance.
  double retry_ratio = 0.2;
  double retry_allowance = 50;
  base::Duration retry_window = std::chrono::seconds(10);
};

// Reads argv, then the environment. Returns nullopt and fills `*fault` if a
// setting is missing or invalid, or if --help or --version was handled.
std::optional<EntrySettings> ParseEntrySettings(int argc,
                                                const char* const* argv,
                                                SettingsFault* fault);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ENTRY_SETTINGS_H_
