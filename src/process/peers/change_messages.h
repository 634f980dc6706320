// Messages of the query for store changes between instances: the query as the
// target of an HTTP request, the answer in CBOR. Versioned and bounded.
#ifndef LYNXGLADE_PROCESS_PEERS_CHANGE_MESSAGES_H_
#define LYNXGLADE_PROCESS_PEERS_CHANGE_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "base/units.h"
#include "process/store/store_items.h"
#include "request/passthrough/engine_sampling.h"
#include "request/passthrough/sample_demand.h"

namespace lynxglade::process::peers {

// Bytes of the items of one answer; more follow in further answers. Keeps the
// time short in which a relay sends it to all instances of its zone. Items of
// one revision that are larger are read from the store, which has a faster
// link.
inline constexpr std::size_t kMaxRelayedBytes = std::size_t{32} * 1024;

struct ChangesQuery {
  base::Revision after;
  // Longest time to wait for the first change.
  base::Duration wait{};
  // Entries of all targets are wanted, not only of those in use.
  bool everything = false;
  // SamplingLevels::digest() of the asking instance.
  std::uint64_t levels_digest = 0;
  // Set for a page of a snapshot, which is answered without waiting:
  // ChangesAnswer::snapshot_start of the first page, or 0 for that page.
  std::optional<base::Revision> snapshot_start;
  // Requests placed by the asking instance since its last query.
  request::passthrough::PlacementCounts placements;
};

struct ChangesAnswer {
  store::StoreItems changes;
  // Another page follows after `changes.revision`.
  bool more = false;
  base::Revision snapshot_start;
  // The levels in force at the relay, if they differ from the query's.
  std::optional<request::passthrough::SamplingLevels> levels;
};

std::string EncodeQuery(const ChangesQuery& query);
// Returns nullopt for any other text, and for a wait of more than ten seconds.
std::optional<ChangesQuery> DecodeQuery(std::string_view text);

// Returns nullopt if the items exceed the limits.
std::optional<std::string> EncodeAnswer(const ChangesAnswer& answer);
// Returns nullopt for malformed, truncated or oversized bytes, for another
// version, and for changes newer than the message's own revision.
std::optional<ChangesAnswer> DecodeAnswer(std::string_view bytes);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_CHANGE_MESSAGES_H_
