// What changed in the store, as one instance tells another: CBOR, versioned
// and bounded.
#ifndef LYNXGLADE_PROCESS_CHANGE_MESSAGES_H_
#define LYNXGLADE_PROCESS_CHANGE_MESSAGES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "process/store_items.h"

namespace lynxglade::process {

// Values of one message together. A relay on a link of 20 Mbit/s passes this
// much to thirty instances in 0.4 s; who needs more asks the store, whose link
// is fifty times as fast.
inline constexpr std::size_t kMaxRelayedBytes = std::size_t{32} * 1024;

// Nothing if the values are larger than a message may hold.
std::optional<std::string> EncodeChanges(const StoreItems& changes);

// Nothing for what is not such a message of this version, whole and within its
// bounds, with revisions that do not exceed the one it is as of.
std::optional<StoreItems> DecodeChanges(std::string_view bytes);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CHANGE_MESSAGES_H_
