// What is known against one content, and how instances tell each other.
#ifndef LYNXGLADE_REQUEST_QUARANTINE_MARK_H_
#define LYNXGLADE_REQUEST_QUARANTINE_MARK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "process/view_item.h"

namespace lynxglade::request {

// A content as quarantine knows it: the hash of what a target would run.
using ContentHash = base::StrongNumber<struct ContentHashTag, std::uint64_t>;

// One crash of one target as one content saw it.
struct Evidence {
  std::string crash_id;  // names the crash over instances
  base::TargetId target;
  base::Time at{};
  // Contents that were under way there, this one included.
  int shared = 1;
  bool confirmed = false;
  // It was a re-run, with no other suspect at the target.
  bool alone = false;
  // Another cause was found.
  bool explained = false;
};

// Crashes counted in a mark; several losses in one crash of a target are one.
struct EvidenceCount {
  std::size_t all = 0;
  std::size_t unexplained = 0;

  // Two crashes, and not all of them have another cause.
  bool warrants_quarantine() const noexcept {
    return all >= 2 && unexplained >= 1;
  }
};

struct QuarantineMark {
  // Rises when the content is cleared, released or lifted; then what older
  // epochs said no longer counts.
  std::uint64_t epoch = 1;
  // Rises with every other change.
  std::uint64_t counter = 0;
  // The instance that alone may re-run the content until then, and where it
  // does.
  base::InstanceId owner;
  base::Time owned_until{};
  base::TargetId rerun_target;
  std::vector<Evidence> evidence;
  bool quarantined = false;
  base::Time expires{};
};

// Losses at one target within this time are one crash.
inline constexpr base::Duration kSameCrashWindow = std::chrono::seconds(2);

// Whether both speak of one crash of one target; instances name it apart.
bool IsSameCrash(const Evidence& a, const Evidence& b) noexcept;

EvidenceCount CountEvidence(const QuarantineMark& mark, bool confirmed_only);

// The mark as a view item; its body is JSON and its times are relative.
process::ViewItem EncodeMark(ContentHash content,
                             const QuarantineMark& mark,
                             const base::InstanceId& self,
                             base::Time now);

struct DecodedMark {
  ContentHash content;
  QuarantineMark mark;
};
// nullopt when the item is not a well-formed mark.
std::optional<DecodedMark> DecodeMark(const process::ViewItem& item);

// Joins another instance's mark into `mine`. `*spread` tells whether the
// joint mark holds more than theirs did, so that they must hear of it.
// Returns whether `mine` changed.
bool MergeMarks(const QuarantineMark& theirs,
                base::Time now,
                QuarantineMark& mine,
                bool* spread);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_MARK_H_
