// Keeps this instance within its share of the request limits that targets name.
//
// A target in need states in its answers how many requests a second it accepts
// from all instances together. Each instance computes its share on its own (see
// limit_share.h) and spaces its requests by it, with a burst of two. None is
// sent while those of the last window exceed the share, so that a limit which
// falls takes effect on what was sent before as well.
//
// Instances may disagree for a while on who is a sender. An instance that
// becomes one therefore waits until the instance that it replaces has learnt of
// it and that one's requests have left the window; a sender whose view of the
// fleet is nearly as old as the lease of an instance's key sends nothing until
// the view is current again.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SEND_LIMITS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SEND_LIMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/named_limit.h"

namespace lynxglade::request::passthrough {

struct SendLimitsOptions {
  base::InstanceId instance;
  // From the selection as a sender to its first request: changes of the fleet
  // are known everywhere within three seconds, and the window is four.
  base::Duration takeover_delay = std::chrono::seconds(8);
  // Less than the lease of an instance's key, after which others replace it.
  base::Duration max_view_age = std::chrono::seconds(15);
};

struct SendLimitsHooks {
  // The known instances, this one included; called when their version changes.
  std::function<std::vector<FleetMember>()> members;
  std::function<std::uint64_t()> members_version;
  // Number of instances that may be up, this one included.
  std::function<int()> instance_count;
  // Age of the view of the fleet.
  std::function<base::Duration()> view_age;
  // Called when an answer of this instance changed a target's limit. May be
  // empty.
  std::function<void(const Engine& engine, const AnswerTimes& times)>
      on_own_change;
  // How a limit is split among the instances.
  decltype(SelectLimitShare)* select_share = SelectLimitShare;
};

// Where a statement of a limit comes from: the id of the request whose answer
// stated it, or the instance that reported it.
using LimitSource = std::variant<std::string, base::InstanceId>;

// Not thread-safe: used on the event loop only.
class SendLimits {
 public:
  SendLimits(SendLimitsOptions options,
             SendLimitsHooks hooks,
             base::Clock clock,
             base::Metrics& metrics);
  SendLimits(const SendLimits&) = delete;
  SendLimits& operator=(const SendLimits&) = delete;

  // Takes what an answer states about the target's limit; logs changes.
  NamedLimit::Change Observe(Engine& engine,
                             const LimitStatement& statement,
                             const AnswerTimes& times,
                             const LimitSource& source);

  // Whether a request may be sent to the target now. Always true without a
  // limit.
  bool MaySend(Engine& engine, base::Time now);
  // When the next request may be sent if none is sent before; `now` at the
  // earliest.
  base::Time NextSend(Engine& engine, base::Time now);
  // A request is being sent, with or without permission.
  void OnSend(Engine& engine, base::Time now);

  // Counts requests whose prompts are being prefilled and that will then need
  // permission to be sent to a target of the service. Without the count more
  // prompts would be prefilled than targets with limits accept.
  class Claim {
   public:
    Claim(SendLimits& limits, const base::ServiceName& service);
    ~Claim();
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;

   private:
    int& claims_;
  };
  // Whether the targets will permit one request more than those that have a
  // claim within `time`.
  bool MayClaim(const base::ServiceName& service,
                const std::vector<EngineHandle>& targets,
                base::Duration time,
                base::Time now);

 private:
  // The share in force; updates it if what it depends on has changed.
  const LimitShare& ShareOf(Engine& engine, base::Time now);
  void SelectShare(Engine& engine, base::Time now);
  base::Time NextAsSender(const EngineLimit& limit, base::Time now) const;
  base::Time NextProbe(const EngineLimit& limit, base::Time now) const;
  void LogChange(Engine& engine,
                 NamedLimit::Change change,
                 const AnswerTimes& times,
                 const LimitSource& source,
                 base::Time now);
  void LogShare(const Engine& engine, base::Time now) const;

  const SendLimitsOptions options_;
  const SendLimitsHooks hooks_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  const base::Time started_at_;
  std::map<base::ServiceName, int> claims_;
  FleetView fleet_;
  std::uint64_t fleet_version_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SEND_LIMITS_H_
