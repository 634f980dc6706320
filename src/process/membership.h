// Who the other instances are, which of them this one links to, and whether
// they run.
//
// A pure state machine: it is told what happened (rows of the instance list,
// links up and down, heartbeats, facts) and gives back what to do. Knowledge
// comes from three places: rows, which lag and only say where to look;
// greetings and heartbeats on links, which are evidence; and kInstance facts
// passed on by peers (instance_fact.h).
//
// An instance that lost its link and does not answer is suspected, never
// struck off: it keeps being looked for, and clears itself with its next word.
#ifndef LYNXGLADE_PROCESS_MEMBERSHIP_H_
#define LYNXGLADE_PROCESS_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "process/instance_fact.h"
#include "process/instance_row.h"
#include "process/link_choice.h"
#include "process/peer_messages.h"
#include "process/view_item.h"

namespace lynxglade::process {

// Names a link; given by whoever makes it.
using LinkId = std::uint64_t;

struct MembershipOptions {
  base::Duration heartbeat_interval = std::chrono::seconds(1);
  // A link on which nothing was heard, or whose peer does not hear us, for
  // this long is closed; an instance that is silent this long is suspected.
  base::Duration silence_timeout = std::chrono::seconds(4);
  // Between two attempts at one peer; doubles up to the maximum, jittered.
  base::Duration min_backoff = std::chrono::milliseconds(500);
  base::Duration max_backoff = std::chrono::seconds(30);
  // Between any two attempts of this instance, and between two at peers that
  // did not answer before.
  base::Duration dial_spacing = std::chrono::milliseconds(50);
  base::Duration retry_spacing = std::chrono::seconds(1);
  // Suspected and unreachable peers are tried at this mean interval, one at a
  // time.
  base::Duration probe_interval = std::chrono::seconds(5);
  // Own fact is published again this often.
  base::Duration refresh_interval = std::chrono::minutes(5);
  // A link that neither side chooses any more is kept this long.
  base::Duration unwanted_link_grace = std::chrono::seconds(60);
  // A peer that is gone, or of which nothing is heard and no row exists, is
  // forgotten after this.
  base::Duration stale_peer_retention = std::chrono::minutes(15);
  LinkChoiceOptions links;
};

// How this instance sees one instance.
struct Member {
  base::InstanceId id;
  base::ZoneId zone;
  std::string address;
  int peer_port = 0;
  MemberState state = MemberState::kLive;
  // Whether a link to it is up.
  bool linked = false;
};

struct DialRequest {
  base::InstanceId peer;
  std::string address;
  int port = 0;
};

struct CloseRequest {
  LinkId link = 0;
  std::string reason;
};

struct HeartbeatRequest {
  LinkId link = 0;
  HeartbeatMessage message;
};

// What the owner is to do; in this order.
struct MembershipActions {
  std::vector<ViewItem> publish;
  std::vector<CloseRequest> close;
  std::vector<HeartbeatRequest> heartbeats;
  std::vector<DialRequest> dial;
};

// Not thread-safe.
class Membership {
 public:
  Membership(MembershipOptions options,
             base::InstanceId self,
             InstanceFact self_fact,
             base::Clock clock,
             base::RandomSource random);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // The instance list as last fetched.
  void SetRows(const std::vector<InstanceRow>& rows);
  // A kInstance fact that the store has just taken.
  void OnFact(const ViewItem& item);

  // The attempt that a DialRequest asked for is under way as `link`.
  void OnDialStarted(const base::InstanceId& peer, LinkId link);
  // A greeting came. False: close the link with `reason`.
  bool OnLinkUp(LinkId link,
                bool dialled,
                const HelloMessage& hello,
                std::string* reason);
  // An attempt failed or a link broke.
  void OnLinkDown(LinkId link);
  // Any message came on a link.
  void OnMessageReceived(LinkId link);
  void OnHeartbeat(LinkId link, const HeartbeatMessage& message);
  // The peer will close the link on purpose.
  void OnLinkClosedByPeer(LinkId link);

  // To be called about every 100 ms.
  MembershipActions Tick();
  // The notice that this instance leaves; to be published at once.
  ViewItem Leave();

  // Links that are up, with the peer's id.
  const base::InstanceId* PeerOf(LinkId link) const;
  std::vector<LinkId> Links() const;
  // Links that are up to peers of this instance's own zone.
  std::vector<LinkId> ZoneLinks() const;
  // Every known instance, this one included.
  std::vector<Member> Members() const;
  // Ids of the live instances of a zone, this one included unless it leaves.
  std::vector<base::InstanceId> LiveInstances(const base::ZoneId& zone) const;

 private:
  struct Peer {
    InstanceFact fact;
    // Version of the kInstance fact held; none for a peer known by row only.
    std::optional<ViewVersion> version;
    bool listed = false;
    // Last direct word, or the time at which it became known.
    base::Time heard{};
    base::Time known_at{};
    // Had a link that was not given up on purpose, and is not linked now.
    bool lost = false;
    int failures = 0;
    base::Time next_dial{};
    bool dialling = false;
  };
  using Peers = std::map<base::InstanceId, Peer>;

  struct Link {
    base::InstanceId peer;
    bool dialled = false;
    base::Time up_since{};
    base::Time heard{};
    // When the peer last showed that it hears us.
    base::Time echoed{};
    base::Time next_heartbeat{};
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t last_echo = 0;
    // Since when neither side chooses the link.
    std::optional<base::Time> unwanted_since;
    // Another link to the same peer is kept in its place.
    bool replaced = false;
  };

  bool IsSelf(const std::string& address, int port) const;
  MemberState StateOfPeer(const Peer& peer) const;
  bool IsCandidate(const Peer& peer) const;
  bool IsLinked(const base::InstanceId& id) const;
  std::vector<LinkCandidate> Candidates() const;
  bool AddressTaken(const InstanceRow& row) const;
  void TakeOverAddress(const base::InstanceId& id, const InstanceFact& fact);
  void ScheduleRetry(Peer* peer);
  base::Duration Jittered(base::Duration d);

  ViewItem FactOf(const base::InstanceId& id,
                  const InstanceFact& fact,
                  ViewVersion version) const;
  void ForgiveOwnPause(base::Time now);
  void CheckLinks(base::Time now, MembershipActions* actions);
  void CloseUnwanted(base::Time now, MembershipActions* actions);
  void SuspectSilent(base::Time now);
  void DialChosen(base::Time now, MembershipActions* actions);
  void Probe(base::Time now, MembershipActions* actions);
  bool TryDial(base::Time now,
               const base::InstanceId& id,
               Peer* peer,
               MembershipActions* actions);
  void RefreshOwnFact(base::Time now);
  void Forget(base::Time now);

  const MembershipOptions options_;
  const LinkCandidate self_;
  const InstanceFact self_fact_;
  const base::Clock clock_;
  const base::RandomSource random_;

  Peers peers_;
  std::map<LinkId, Link> links_;
  std::map<LinkId, base::InstanceId> attempts_;
  // Facts to be handed out by the next Tick.
  std::vector<ViewItem> to_publish_;
  ViewVersion own_version_{kRunningEpoch, 0};
  bool leaving_ = false;
  base::Time last_tick_{};
  base::Time last_dial_{};
  base::Time last_retry_{};
  base::Time next_probe_{};
  base::Time next_refresh_{};
  base::Time next_wanted_check_{};
  base::Time next_choice_{};
  std::vector<base::InstanceId> chosen_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_MEMBERSHIP_H_
