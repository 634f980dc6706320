// Shares the quarantine's marks between instances by datagrams.
//
// The instance that observed a loss tells all others, so that a repeat of the
// content is known at whichever instance it arrives. Every instance receives
// every mark from its author and joins the evidence itself; none passes marks
// on. Each instance sends less often the larger the fleet is, so that what one
// receives is bounded, verdicts before suspects. An instance whose view was out
// of date asks a few others for their marks.
#ifndef LYNXGLADE_PROCESS_PEERS_QUARANTINE_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_QUARANTINE_SHARING_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/event/http_types.h"
#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "process/peers/quarantine_messages.h"
#include "request/quarantine.h"

namespace lynxglade::process::peers {

struct QuarantineSharingOptions {
  // Delay after a change, in which others join the same message: the
  // confirmation of a crash follows its losses closely.
  base::Duration delay = std::chrono::milliseconds(20);
  // Each mark is sent so often, as datagrams may be lost.
  int repeats = 2;
  base::Duration repeat_interval = std::chrono::milliseconds(150);
  // Rounds of messages that an instance receives a second in the long run, from
  // all others together.
  double rounds_received_per_second = 200;
  // Rounds that an instance may send at once. The last one is reserved for
  // contents that are quarantined.
  double max_saved_rounds = 4;
  std::size_t messages_per_round = 3;
  // A view older than this was out of date: marks may have been missed. Longer
  // than a watch of the store waits.
  base::Duration stale_view = std::chrono::seconds(5);
  // Instances that are asked for their marks.
  std::size_t peers_asked = 3;
};

// Not thread-safe: runs on the event loop.
class QuarantineSharing {
 public:
  // `view_age` returns the age of the view of the store.
  QuarantineSharing(connection::event::asio::io_context& loop,
                    request::Quarantine& quarantine,
                    const InstancePresence& presence,
                    PeerDatagrams& datagrams,
                    std::function<base::Duration()> view_age,
                    QuarantineSharingOptions options,
                    base::Clock clock,
                    base::RandomSource random,
                    base::Metrics& metrics);
  QuarantineSharing(const QuarantineSharing&) = delete;
  QuarantineSharing& operator=(const QuarantineSharing&) = delete;

  void Start();
  // The quarantine's hook: a mark changed here.
  void OnPublish(const ViewItem& item);
  // Merges a mark that all instances receive.
  void Merge(const ViewItem& item);
  // Lifts a quarantine that all instances lift.
  void Lift(request::ContentHash content);
  // Call several times a second.
  void Tick();

 private:
  struct Pending {
    request::QuarantineMark mark;
    int repeats_left = 0;
  };

  void Arm(base::Duration delay);
  void Flush();
  // Most important first.
  std::vector<DecodedMark> PendingMarks() const;
  // Takes a round from the budget, or returns how long to wait for one.
  base::Duration TakeRound(bool has_verdict, std::size_t peers);
  std::vector<InstancePeer> OtherPeers() const;
  void Send(const std::vector<InstancePeer>& peers,
            std::vector<DecodedMark> marks);
  void RequestMarks();
  bool HandleMarks(const InstancePeer& from, std::string_view bytes);
  bool HandleRequest(const InstancePeer& from, std::string_view bytes);

  connection::event::asio::io_context& loop_;
  request::Quarantine& quarantine_;
  const InstancePresence& presence_;
  PeerDatagrams& datagrams_;
  const std::function<base::Duration()> view_age_;
  const QuarantineSharingOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  std::map<request::ContentHash, Pending> pending_;
  bool armed_ = false;
  // Marks that change now are known to the other instances as well.
  bool merging_ = false;
  double saved_rounds_;
  base::Time refilled_at_;
  bool view_was_stale_ = true;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_QUARANTINE_SHARING_H_
