// Encoding of store changes between instances: CBOR, versioned and bounded.
#ifndef LYNXGLADE_PROCESS_PEERS_CHANGE_MESSAGES_H_
#define LYNXGLADE_PROCESS_PEERS_CHANGE_MESSAGES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "process/store/store_items.h"

namespace lynxglade::process::peers {

// Limit on the total size of the values of one message. Keeps the time short
// in which a relay sends it to all instances of its zone; larger changes are
// read from the store, which has a faster link.
inline constexpr std::size_t kMaxRelayedBytes = std::size_t{32} * 1024;

// Returns nullopt if the values or the number of changes exceed the limits.
std::optional<std::string> EncodeChanges(const store::StoreItems& changes);

// Returns nullopt for malformed, truncated or oversized bytes, for another
// version, and for changes newer than the message's own revision.
std::optional<store::StoreItems> DecodeChanges(std::string_view bytes);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_CHANGE_MESSAGES_H_
