// Runs the role planners of one instance: feeds them with demand and fleet,
// and hands their wishes to the order service.
//
// Every instance learns the demand, but only wishes of the zone's order holder
// count: it is the one that is asked for them, and an instance that is not
// asked keeps none. Holders of several zones take turns by the wall clock, so
// that at any time one of them decides for a service; a zone that is cut off
// plans in its own turns with the engines that it sees serving. Clocks that
// are apart can make two zones decide at once; the orders' permits still let
// one engine of a service out at a time.
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

// What this instance's callers asked of a service since its start.
struct OfferedTotals {
  base::Tokens prefill{0};
  base::Tokens decode{0};
  base::Worth worth{0};
};

struct RolePlanningOptions {
  base::ZoneId zone;
  // Time out of service for a change, its drain included.
  base::Duration out_of_service = std::chrono::seconds(10);
  // How long a zone's turn is.
  base::Duration turn = std::chrono::seconds(15);
  // At the end of a turn nothing is decided any more, for this long.
  base::Duration turn_guard = std::chrono::seconds(2);
  // An instance that was not asked for wishes for this long is not the holder.
  base::Duration asked_within = std::chrono::seconds(5);
};

// All must be thread-safe and must not block for long.
struct RolePlanningHooks {
  base::Clock clock;
  std::function<std::int64_t()> wall_millis;
  std::function<std::map<base::ServiceName, OfferedTotals>()> offered;
  // Live entry instances; callers are spread over them evenly.
  std::function<std::size_t()> entry_instances;
  // Every target in view, of all zones, in any state.
  std::function<std::vector<request::Target>()> targets;
  std::function<std::shared_ptr<const version::Configuration>()> configuration;
};

// Thread-safe.
class RolePlanning {
 public:
  RolePlanning(RolePlanningOptions options, RolePlanningHooks hooks);
  RolePlanning(const RolePlanning&) = delete;
  RolePlanning& operator=(const RolePlanning&) = delete;

  // Observes and decides; call once a second from one thread.
  void Tick();

  // For OrderHooks::role_wishes: the roles wished for. To be asked is to be
  // the holder. Does not block.
  std::map<base::TargetId, request::EngineRole> Wishes();

  // {"services":{name:{"reason","prefill_tokens_per_s",...}}} for operators:
  // what was decided last and why nothing moves.
  std::string StatusJson() const;

 private:
  // Planner of one service.
  struct Line {
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
  bool EnsurePlanner(const version::ServiceSpec& spec, Line* line);
  bool InTurn(const std::vector<request::Target>& engines) const;
  bool IsAsked() const;

  const RolePlanningOptions options_;
  const RolePlanningHooks hooks_;
  std::optional<base::Time> last_tick_;

  // Guards the planners; held while they decide.
  mutable std::mutex planners_mutex_;
  std::map<base::ServiceName, Line> lines_;

  // Guards what the order service reads; held for moments only.
  mutable std::mutex wishes_mutex_;
  std::map<base::TargetId, request::EngineRole> wishes_;
  std::optional<base::Time> asked_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ROLE_PLANNING_H_
