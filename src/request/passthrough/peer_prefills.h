// The prompts that other instances have engines read, as they last said.
//
// An instance sees its own requests only, one of many at an engine. With what
// the others say of theirs it knows how long a prompt would wait there.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PEER_PREFILLS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PEER_PREFILLS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

// Names an engine in few bytes: a hash of its id.
using EngineKey = std::uint32_t;
EngineKey KeyOf(const base::TargetId& id) noexcept;

// What one instance has one engine read at one priority.
struct PeerPrefill {
  EngineKey engine = 0;
  // 0 is the most urgent.
  int priority = 0;
  std::int64_t prefill_tokens = 0;

  friend bool operator==(const PeerPrefill&, const PeerPrefill&) = default;
};

struct PeerPrefillsOptions {
  // What an instance said counts for so long: four of its reports may be lost.
  base::Duration report_ttl = std::chrono::milliseconds(500);
};

// What this instance has engines read, for the others.
std::vector<PeerPrefill> OwnPrefills(const EngineTable& engines);

// Not thread-safe: lives on the event loop.
class PeerPrefills {
 public:
  explicit PeerPrefills(PeerPrefillsOptions options = {});
  PeerPrefills(const PeerPrefills&) = delete;
  PeerPrefills& operator=(const PeerPrefills&) = delete;

  // All that `peer` has engines read now.
  void Put(const base::InstanceId& peer,
           const std::vector<PeerPrefill>& prefills,
           base::Time now);
  // Instances for each one that reports here, this one left out: above 1 where
  // not all report to all.
  void SetScale(double scale) noexcept { scale_ = scale; }

  // Tokens that are read at an engine before a prompt of that priority.
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
  std::map<EngineKey, ByPeer> reads_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PEER_PREFILLS_H_
