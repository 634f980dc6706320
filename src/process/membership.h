// Tracks the other entry instances, their state, and the links to them.
//
// A state machine without I/O: the caller reports events (instance list rows,
// links up and down, heartbeats, facts) and carries out the returned actions.
// Rows of the instance list lag and serve as addresses to try. Hello messages
// and heartbeats on a link prove that a peer runs. kInstance facts forwarded by
// peers report the rest (instance_fact.h).
//
// An instance whose link broke and that does not answer becomes suspect. It is
// not removed: it is probed further and clears the suspicion by publishing a
// newer fact.
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

// Identifies a link; assigned by the transport.
using LinkId = std::uint64_t;

struct MembershipOptions {
  base::Duration heartbeat_interval = std::chrono::seconds(1);
  // A link is closed when nothing was received on it, or the peer acknowledged
  // none of the heartbeats sent, for this long. An unlinked peer that has been
  // silent for this long becomes suspect.
  base::Duration silence_timeout = std::chrono::seconds(4);
  // Exponential backoff between dial attempts to one peer, with jitter.
  base::Duration min_backoff = std::chrono::milliseconds(500);
  base::Duration max_backoff = std::chrono::seconds(30);
  // Minimum time between any two dial attempts, and between two attempts to
  // peers whose previous attempt failed.
  base::Duration dial_spacing = std::chrono::milliseconds(50);
  base::Duration retry_spacing = std::chrono::seconds(1);
  // Mean interval between probes of suspect and unreachable peers; each probe
  // dials one of them.
  base::Duration probe_interval = std::chrono::seconds(5);
  // Mean interval at which this instance republishes the fact about itself.
  base::Duration refresh_interval = std::chrono::minutes(5);
  // How long a link that neither end selects any more is kept.
  base::Duration unwanted_link_grace = std::chrono::seconds(60);
  // How long a peer that has no row and no link is kept after its last message
  // or update.
  base::Duration stale_peer_retention = std::chrono::minutes(15);
  LinkChoiceOptions links;
};

// A known instance and its state as this instance sees it.
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

// Actions for the caller, to be carried out in the order of the members.
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
  // Call for each kInstance fact newly merged into the view store.
  void OnFact(const ViewItem& item);

  // The attempt for a DialRequest has started and is identified by `link`.
  void OnDialStarted(const base::InstanceId& peer, LinkId link);
  // The peer's hello message arrived. If false, the caller must close the link
  // with `reason`.
  bool OnLinkUp(LinkId link,
                bool dialled,
                const HelloMessage& hello,
                std::string* reason);
  // An attempt failed or a link broke.
  void OnLinkDown(LinkId link);
  // Call for every message received on a link.
  void OnMessageReceived(LinkId link);
  void OnHeartbeat(LinkId link, const HeartbeatMessage& message);
  // The peer announced that it closes the link deliberately.
  void OnLinkClosedByPeer(LinkId link);

  // Call about every 100 ms.
  MembershipActions Tick();
  // Marks this instance as leaving. Returns the fact to publish immediately.
  ViewItem Leave();

  // The peer at the other end of a link that is up; null for other links.
  const base::InstanceId* PeerOf(LinkId link) const;
  // Links that are up.
  std::vector<LinkId> Links() const;
  // Links that are up to peers in this instance's zone.
  std::vector<LinkId> ZoneLinks() const;
  // All known instances, including this one.
  std::vector<Member> Members() const;
  // Live instances of a zone, including this one unless it is leaving.
  std::vector<base::InstanceId> LiveInstances(const base::ZoneId& zone) const;

 private:
  struct Peer {
    InstanceFact fact;
    // Version of the latest kInstance fact; empty for a peer known only from
    // the instance list.
    std::optional<ViewVersion> version;
    // Whether the latest instance list has a row for it.
    bool listed = false;
    // Last message on a link to it, or when it became known.
    base::Time last_received{};
    // Last update by a row, fact or hello message.
    base::Time known_at{};
    // Its last link broke without a deliberate close, and no link is up since.
    bool link_lost = false;
    int failures = 0;
    base::Time next_dial{};
    bool dialling = false;
  };
  using Peers = std::map<base::InstanceId, Peer>;

  struct Link {
    base::InstanceId peer;
    bool dialled = false;
    base::Time up_since{};
    base::Time last_received{};
    // When the peer last acknowledged a heartbeat.
    base::Time last_acknowledged{};
    base::Time next_heartbeat{};
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t last_echo = 0;
    // When the link was first found to be selected by neither end.
    std::optional<base::Time> unwanted_since;
    // Superseded by another link to the same peer; to be closed.
    bool replaced = false;
  };

  bool IsSelf(const std::string& address, int port) const;
  MemberState StateOfPeer(const Peer& peer) const;
  bool IsCandidate(const Peer& peer) const;
  bool IsLinked(const base::InstanceId& id) const;
  std::vector<LinkCandidate> Candidates() const;
  bool IsAddressInUse(const InstanceRow& row) const;
  void ReplaceInstanceAt(const base::InstanceId& id, const InstanceFact& fact);
  void ScheduleRetry(Peer* peer);
  base::Duration Jittered(base::Duration d);

  ViewItem FactOf(const base::InstanceId& id,
                  const InstanceFact& fact,
                  ViewVersion version) const;
  void AdjustForOwnPause(base::Time now);
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
  void EvictStalePeers(base::Time now);

  const MembershipOptions options_;
  const LinkCandidate self_;
  const InstanceFact self_fact_;
  const base::Clock clock_;
  const base::RandomSource random_;

  Peers peers_;
  std::map<LinkId, Link> links_;
  std::map<LinkId, base::InstanceId> attempts_;
  // Facts returned by the next Tick.
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
