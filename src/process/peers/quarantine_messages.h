// CBOR messages by which instances tell each other the evidence against
// contents that were in flight in crashes.
#ifndef LYNXGLADE_PROCESS_PEERS_QUARANTINE_MESSAGES_H_
#define LYNXGLADE_PROCESS_PEERS_QUARANTINE_MESSAGES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "request/content_hash.h"
#include "request/quarantine_mark.h"

namespace lynxglade::process::peers {

// Marks in one message, and crashes in one mark. A message fits into a
// datagram, usually into one packet.
inline constexpr std::size_t kMaxMarks = 12;
inline constexpr std::size_t kMaxMarkCrashes = 8;
// Longer messages are rejected.
inline constexpr std::size_t kMaxMarksBytes = 4096;

using request::DecodedMark;

// Encodes an array of the version and, for each mark, [content or part, epoch,
// counter, flags, owner, owned ms, rerun target, expires in ms, crashes]; a
// crash is [id, target, age in ms, contents in flight, flags, ms that the run
// had run, answers since, organisation, tag of the content]. Marks beyond the
// maximum, and the oldest crashes beyond it, are left out.
std::string EncodeMarks(const std::vector<DecodedMark>& marks, base::Time now);
// Returns nullopt for malformed bytes.
std::optional<std::vector<DecodedMark>> DecodeMarks(std::string_view bytes,
                                                    base::Time now);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_QUARANTINE_MESSAGES_H_
