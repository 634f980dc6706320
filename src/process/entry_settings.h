// Settings of an entry instance whose platform's store holds the targets and
// the configuration (`lynxgladed entry`): flags, each with its environment
// variable.
#ifndef LYNXGLADE_PROCESS_ENTRY_SETTINGS_H_
#define LYNXGLADE_PROCESS_ENTRY_SETTINGS_H_

#include <cstddef>
#include <optional>

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "process/endpoint.h"
#include "process/settings_fault.h"

namespace lynxglade::process {

struct EntrySettings {
  base::InstanceId instance;
  base::ZoneId zone;
  // Where callers connect.
  Endpoint listen;
  // Where readiness is asked for and metrics are read.
  Endpoint health_listen;
  Endpoint store;
  // Where this instance hears the others; they are told where in the store.
  std::optional<Endpoint> peer_listen;
  base::LogLevel log_level = base::LogLevel::kInfo;
  std::size_t max_connections = 1500;
  // From SIGTERM to the end, at most.
  base::Duration stop_grace = std::chrono::seconds(8);
  // From taking authority over the engines to the first order.
  base::Duration order_takeover_delay = std::chrono::milliseconds(4500);
  // The part of a service's engines that generate; the others read prompts.
  double decode_share = 0.25;
  // What the fleet of instances may send beyond the first arrival of each
  // request, in a sliding window.
  double retry_ratio = 0.2;
  double retry_allowance = 50;
  base::Duration retry_window = std::chrono::seconds(10);
};

std::optional<EntrySettings> ParseEntrySettings(int argc,
                                                const char* const* argv,
                                                SettingsFault* fault);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ENTRY_SETTINGS_H_
