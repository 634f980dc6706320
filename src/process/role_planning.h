// Runs a role planner per service: passes demand and fleet to it and offers its
// requested roles to the order service.
//
// Every instance estimates demand, but only the holder of a zone's order lease
// plans. It is recognised by the calls of its order service for the requested
// roles; an instance that gets no such calls requests nothing. The holders of
// several zones take turns by wall clock, so that only one of them plans for a
// service at any time. A partitioned zone plans in its own turns with the
// engines that it sees serving. With clock skew two zones can plan at once; the
// permits of the order service still limit how many engines of a service are
// out of service.
#ifndef LYNXGLADE_PROCESS_ROLE_PLANNING_H_
#define LYNXGLADE_PROCESS_ROLE_PLANNING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "process/role_planner.h"
#include "request/target.h"
#include "version/configuration.h"

namespace lynxglade::process {

// Demand offered to this instance for a service since the instance started.
struct OfferedTotals {
  base::Tokens prefill{0};
  base::Tokens decode{0};
  base::Worth worth{0};
};

struct RolePlanningOptions {
  base::ZoneId zone;
  // Time that an engine is out of service for a change, including its drain.
  base::Duration out_of_service = std::chrono::seconds(10);
  // Length of a zone's turn.
  base::Duration turn = std::chrono::seconds(15);
  // No change is planned in this last part of a turn, to allow for clock skew.
  base::Duration turn_guard = std::chrono::seconds(2);
  // An instance counts as holder for this long after a call of
  // RequestedRoles().
  base::Duration holder_timeout = std::chrono::seconds(5);
};

// All must be thread-safe and must not block for long.
struct RolePlanningHooks {
  base::Clock clock;
  std::function<std::int64_t()> wall_millis;
  std::function<std::map<base::ServiceName, OfferedTotals>()> offered;
  // Number of live entry instances. Demand is assumed to be spread over them
  // evenly.
  std::function<std::size_t()> entry_instances;
  // All known targets of all zones, in any state.
  std::function<std::vector<request::Target>()> targets;
  std::function<std::shared_ptr<const version::Configuration>()> configuration;
};

// Thread-safe.
class RolePlanning {
 public:
  RolePlanning(RolePlanningOptions options, RolePlanningHooks hooks);
  RolePlanning(const RolePlanning&) = delete;
  RolePlanning& operator=(const RolePlanning&) = delete;

  // Updates the planners; call once a second from one thread.
  void Tick();

  // The requested roles, for OrderHooks::requested_roles. A call marks this
  // instance as the holder. Does not block.
  std::map<base::TargetId, request::EngineRole> RequestedRoles();

  // JSON for operators:
  // {"services":{name:{"reason","prefill_tokens_per_s",...}}} with the last
  // decision per service and its reason.
  std::string StatusJson() const;

 private:
  // State of one service.
  struct ServiceState {
    std::optional<RolePlanner> planner;
    double price = -1;
    OfferedTotals before;
    RoleDecision last;
    bool in_turn = false;
  };

  void TickService(const version::ServiceSpec& spec,
                   const OfferedTotals& offered,
                   const std::vector<request::Target>& targets,
                   base::Duration elapsed);
  bool EnsurePlanner(const version::ServiceSpec& spec,
                     ServiceState* service_state);
  bool InTurn(const std::vector<request::Target>& engines) const;
  bool IsHolder() const;

  const RolePlanningOptions options_;
  const RolePlanningHooks hooks_;
  std::optional<base::Time> last_tick_;

  // Guards the planners; held while they run.
  mutable std::mutex planners_mutex_;
  std::map<base::ServiceName, ServiceState> services_;

  // Guards what the order service reads; never held while planning.
  mutable std::mutex requested_roles_mutex_;
  std::map<base::TargetId, request::EngineRole> requested_roles_;
  std::optional<base::Time> last_requested_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ROLE_PLANNING_H_
