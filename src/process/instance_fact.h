// The body of a kInstance fact: where an instance is and whether it runs.
//
// Versions order its life. Epoch 1 is running: an even sequence is the
// instance's own word that it lives, an odd one a peer's suspicion, which the
// instance answers with the next even one. Epoch 2 is its own leaving notice,
// epoch 3 a peer's word that another process runs at its address. So neither
// a suspicion nor a late copy can undo a leaving notice.
#ifndef LYNXGLADE_PROCESS_INSTANCE_FACT_H_
#define LYNXGLADE_PROCESS_INSTANCE_FACT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "process/view_item.h"

namespace lynxglade::process {

// How this instance sees a peer. Only kLive peers are homes of slices and are
// used to pass facts on.
enum class MemberState { kLive, kSuspect, kLeaving, kGone };
std::string_view ToString(MemberState state) noexcept;

inline constexpr std::uint64_t kRunningEpoch = 1;
inline constexpr std::uint64_t kLeavingEpoch = 2;
inline constexpr std::uint64_t kGoneEpoch = 3;

struct InstanceFact {
  base::ZoneId zone;
  std::string address;
  int port = 0;
};

// What a version says.
MemberState StateOf(const ViewVersion& version) noexcept;

std::string EncodeInstanceFact(const InstanceFact& fact);
// Nothing when the text is no instance fact.
std::optional<InstanceFact> DecodeInstanceFact(const std::string& body);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_INSTANCE_FACT_H_
