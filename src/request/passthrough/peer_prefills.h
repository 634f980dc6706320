// Pending prefills of other instances, as they last reported.
//
// An instance sees only its own requests, a small part of those at an engine.
// With its peers' reports it can estimate how long a prompt would wait there.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PEER_PREFILLS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PEER_PREFILLS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

// Hash of an engine's id, to keep reports small.
using EngineKey = std::uint32_t;
EngineKey KeyOf(const base::TargetId& id) noexcept;

// Pending prefills of one instance at one engine and priority.
struct PeerPrefill {
  EngineKey engine = 0;
  // 0 is the most urgent.
  int priority = 0;
  std::int64_t prefill_tokens = 0;

  friend bool operator==(const PeerPrefill&, const PeerPrefill&) = default;
};

struct PeerPrefillsOptions {
  // Reports expire after this; covers a few lost ones.
  base::Duration report_ttl = std::chrono::milliseconds(500);
};

// Pending prefills of this instance, for its peers.
std::vector<PeerPrefill> OwnPrefills(const EngineTable& engines);

// Not thread-safe: used on the event loop only.
class PeerPrefills {
 public:
  explicit PeerPrefills(PeerPrefillsOptions options = {});
  PeerPrefills(const PeerPrefills&) = delete;
  PeerPrefills& operator=(const PeerPrefills&) = delete;

  // Replaces all pending prefills of `peer`.
  void Put(const base::InstanceId& peer,
           const std::vector<PeerPrefill>& prefills,
           base::Time now);
  // Number of other instances per instance that reports here; above 1 where not
  // all report to all.
  void SetScale(double scale) noexcept { scale_ = scale; }

  // Pending tokens at an engine, at `priority` or more urgent.
  std::int64_t PrefillTokens(const base::TargetId& engine,
                             int priority,
                             base::Time now) const;

 private:
  struct Entry {
    int priority = 0;
    std::int64_t prefill_tokens = 0;
    base::Time received_at{};
  };
  using ByPeer = std::multimap<base::InstanceId, Entry>;

  const PeerPrefillsOptions options_;
  double scale_ = 1;
  std::map<EngineKey, ByPeer> prefills_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PEER_PREFILLS_H_
