// Body and versions of a kInstance fact: the address and state of an instance.
//
// The version encodes the state. In epoch 1 the instance is running: even
// sequences are published by the instance itself, odd ones by a peer that
// suspects it, which the instance refutes with the next even sequence. Epoch 2
// is the instance's leaving notice. Epoch 3 is published by a peer that found
// another process at its address. A suspicion or a late copy therefore cannot
// override a leaving notice.
#ifndef LYNXGLADE_PROCESS_INSTANCE_FACT_H_
#define LYNXGLADE_PROCESS_INSTANCE_FACT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "process/view_item.h"

namespace lynxglade::process {

// State of an instance as another one sees it. Only kLive instances own slices.
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

// The state that a version encodes.
MemberState StateOf(const ViewVersion& version) noexcept;

std::string EncodeInstanceFact(const InstanceFact& fact);
// Empty if `body` is not a valid instance fact.
std::optional<InstanceFact> DecodeInstanceFact(const std::string& body);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_INSTANCE_FACT_H_
