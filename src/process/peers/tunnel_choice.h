// Chooses the instance through which a target is reached.
//
// Instances of the own zone come first, as bytes between zones are dear. Of two
// drawn at random the one with fewer tunnels is taken. An instance that does
// not help is left out for a while: for all targets if it is busy or silent,
// else for those of the service and zone that it does not reach itself.
#ifndef LYNXGLADE_PROCESS_PEERS_TUNNEL_CHOICE_H_
#define LYNXGLADE_PROCESS_PEERS_TUNNEL_CHOICE_H_

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/event/tunnel.h"
#include "process/peers/instance_presence.h"
#include "request/passthrough/target_paths.h"

namespace lynxglade::process::peers {

struct TunnelChoiceOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  // How long an instance that did not help is left out.
  base::Duration leave_out = std::chrono::milliseconds(1000);
  // The same where the target did not answer it: either may be to blame.
  base::Duration leave_out_silent = std::chrono::milliseconds(300);
};

// Not thread-safe: used on the event loop only.
class TunnelChoice {
 public:
  TunnelChoice(TunnelChoiceOptions options, base::RandomSource random);
  TunnelChoice(const TunnelChoice&) = delete;
  TunnelChoice& operator=(const TunnelChoice&) = delete;

  // An instance to ask, or nothing if there is none left. `tried`: those asked
  // for this connection before.
  std::optional<InstancePeer> Choose(
      const std::vector<InstancePeer>& peers,
      const request::passthrough::TargetGroup& group,
      const std::vector<base::InstanceId>& tried,
      base::Time now) const;
  // Whether an instance said lately that it does not reach the group itself.
  bool IsCutOff(const request::passthrough::TargetGroup& group,
                base::Time now) const;
  void OnReply(const base::InstanceId& peer,
               const request::passthrough::TargetGroup& group,
               connection::event::TunnelReply reply,
               base::Time now);

 private:
  bool IsLeftOut(const base::InstanceId& peer,
                 const request::passthrough::TargetGroup& group,
                 base::Time now) const;
  // Tunnels opened through the instance lately.
  double LoadOf(const base::InstanceId& peer, base::Time now) const;

  struct PeerState {
    base::Time told_at{};
    base::Time left_out_until{};
    std::map<request::passthrough::TargetGroup, base::Time> unreached_until;
    // Decays with time.
    double opened = 0;
    base::Time opened_at{};
  };

  const TunnelChoiceOptions options_;
  const base::RandomSource random_;
  std::map<base::InstanceId, PeerState> peers_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_TUNNEL_CHOICE_H_
