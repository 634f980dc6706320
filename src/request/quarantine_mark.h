// The evidence against one content, or one part of prompts, its encoding for
// other instances, and how the marks of two instances are merged.
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
#include "request/content_hash.h"

namespace lynxglade::request {

// One crash of a target at which a content, or a run with a part, was in
// flight.
struct Evidence {
  std::string crash_id;  // "<observing instance>/<number>"
  base::TargetId target;
  base::Time at{};
  // Number of contents in flight in the crash, this one included.
  int shared = 1;
  bool confirmed = false;
  // The lost attempt was a rerun, with no other suspect at the target.
  bool alone = false;
  // The crash was attributed to another cause.
  bool explained = false;
  // When this instance learnt of it.
  base::Time learnt{};
  // Part of the answer had arrived: the target had run the content for a while.
  bool answering = false;
  // How long the last run of it to start had run.
  base::Duration ran{};
  // Of a part: runs with it that began after this crash and before the next
  // one, and answered.
  int answers = 0;
  // Of a part: identifies the content of the lost run; 0: several.
  std::uint32_t content = 0;
  // Of a part: organisation of the lost runs, as in RunIdentity; 0: several.
  std::uint32_t organisation = 0;

  base::Time started() const noexcept { return at - ran; }
};

// Number of distinct crashes in a mark.
struct EvidenceCount {
  std::size_t all = 0;
  std::size_t unexplained = 0;
  // During a rerun without other suspects at the target.
  std::size_t alone = 0;
  // Before the answer began.
  std::size_t at_start = 0;
  // Both.
  std::size_t alone_at_start = 0;
};

struct QuarantineMark {
  // The key is a part of prompts, not a content.
  bool is_part = false;
  // Incremented when the content is cleared, released or lifted. A mark of a
  // later epoch replaces one of an earlier epoch.
  std::uint64_t epoch = 1;
  // Incremented with every change.
  std::uint64_t counter = 0;
  // Lease: until `owned_until` only `owner` may rerun the content.
  // `rerun_target` is where it does so; empty if it does not.
  base::InstanceId owner;
  base::Time owned_until{};
  base::TargetId rerun_target;
  std::vector<Evidence> evidence;
  bool quarantined = false;
  // A quarantine has ended: without evidence the content is a suspect, and one
  // crash quarantines it.
  bool on_probation = false;
  base::Time expires{};

  bool is_suspect() const noexcept { return !evidence.empty() || on_probation; }
};

// Losses at one target within this time count as one crash.
inline constexpr base::Duration kSameCrashWindow = std::chrono::seconds(2);

// Crashes kept in one mark.
inline constexpr std::size_t kMaxEvidence = 16;

// Whether both describe the same crash of a target. Instances assign different
// ids to the same crash, so the target and time are compared as well.
bool IsSameCrash(const Evidence& a, const Evidence& b) noexcept;

// Whether the crash is in the mark.
bool HasSameCrash(const QuarantineMark& mark, const Evidence& crash);

// The crashes in the mark, each once, though several instances recorded it.
std::vector<Evidence> DistinctCrashes(const QuarantineMark& mark,
                                      bool confirmed_only);

// The mark's evidence of the crash; null if it has none. Of a part one entry
// stands for all instances that recorded the crash: many of them ran it there.
Evidence* FindSame(QuarantineMark& mark, const Evidence& crash);

// Adds the evidence; the oldest one makes room for it.
void AddEvidence(const Evidence& added, QuarantineMark& mark);

// Joins what another run, or another instance, says of the same crash.
void FoldPartEvidence(const Evidence& added, Evidence& known);

EvidenceCount CountEvidence(const QuarantineMark& mark, bool confirmed_only);

// How strongly crashes and answers speak against a part, in crashes. A run that
// is in flight in several crashes at once says no more than in one: a crash
// counts only if a run began after the one before, or if it was not at about
// the same time. `answers_per_crash` answers take one crash back; none are
// saved up for later crashes, as a part may have been harmless until then.
double ScoreCrashes(std::vector<Evidence> crashes, int answers_per_crash);

// Encodes the mark as a view item. The body is JSON, with times relative to
// `now`.
process::ViewItem EncodeMark(ContentHash content,
                             const QuarantineMark& mark,
                             const base::InstanceId& self,
                             base::Time now);

struct DecodedMark {
  ContentHash content;
  QuarantineMark mark;
};
// Returns nullopt if the item is not a well-formed mark.
std::optional<DecodedMark> DecodeMark(const process::ViewItem& item);

// Merges another instance's mark into `local`. Sets `*must_publish` if the
// merged mark holds information that `remote` lacks. Returns whether `local`
// changed.
bool MergeMarks(const QuarantineMark& remote,
                base::Time now,
                QuarantineMark& local,
                bool* must_publish);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_MARK_H_
