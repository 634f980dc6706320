// Settings of the quarantine.
#ifndef LYNXGLADE_REQUEST_QUARANTINE_OPTIONS_H_
#define LYNXGLADE_REQUEST_QUARANTINE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <functional>

#include "base/time.h"
#include "request/quarantine_mark.h"

namespace lynxglade::request {

struct QuarantineOptions {
  // Lifetime of the marks of suspects and of quarantined content.
  base::Duration suspect_ttl = std::chrono::minutes(10);
  base::Duration quarantine_ttl = std::chrono::hours(1);
  // The same for content that is quarantined for the first time. Content that
  // was beside two crashes of other causes is served again after this.
  base::Duration first_quarantine_ttl = std::chrono::hours(1);
  // A lost connection counts as a crash unless the crash stays unconfirmed for
  // this long.
  base::Duration confirm_timeout = std::chrono::seconds(10);
  // How much later than a loss a sign of life must be to refute the crash.
  base::Duration alive_margin = kSameCrashWindow;
  // For how long an instance that reruns a content without renewal excludes the
  // others.
  base::Duration rerun_lease = std::chrono::seconds(30);
  // Whether the instance that observed a crash may rerun the content before the
  // others, for `rerun_lease`.
  bool observer_reruns_first = true;
  // Number of crashes from which a suspect is rerun only at a target that runs
  // no other suspect. With 1, every rerun is conclusive, but of the contents
  // that were in flight in a crash only one a target can be rerun at once. With
  // 2, a crash during a rerun beside other suspects is not conclusive; nor is
  // one after the answer began, unless it is the second of a lone rerun.
  std::size_t lone_rerun_after = 1;
  // For how long suspects are not run at a target that crashed.
  base::Duration crash_avoidance_time = std::chrono::minutes(2);
  // A target is unstable if it had this many confirmed crashes within
  // suspect_ttl in which no quarantined content was in flight. Zero: no target
  // is, as several contents that crash their targets look the same until they
  // are quarantined.
  std::size_t unstable_crash_count = 2;
  // Content that this instance had a complete answer to so recently, at most
  // twice as long ago, is not suspected: many callers send it, and targets run
  // it. Zero: off.
  base::Duration answered_memory{};
  // Contents and parts that are remembered for that.
  std::size_t max_answered = 16384;
  // An answer that went on for this long speaks for the parts of its prompt,
  // and so does a complete one.
  base::Duration settle_time = std::chrono::milliseconds(300);
  // Answers that take back one crash as evidence against a part.
  int answers_per_crash = 3;
  // A part is judged this long after its last crash, when the other instances'
  // evidence has arrived.
  base::Duration verdict_delay = std::chrono::milliseconds(80);
  // A verdict on a part that turns out to be wrong ends this long after its
  // last crash.
  base::Duration release_delay = std::chrono::seconds(2);
  // Crashes that quarantine a part; if there were crashes without it within
  // `other_crash_window`; and if it is common.
  double part_crashes = 2;
  double part_crashes_beside_others = 3;
  double common_part_crashes = 4;
  base::Duration other_crash_window = std::chrono::seconds(10);
  // A part is common if this instance had so many answers on it within
  // `answered_memory`, a run in flight counting for several. Some more crashes
  // than usual may be seen before its next answers are.
  int common_answers = 24;
  int answers_per_run = 8;
  // Every instance has answers on a common part: of so many answers together
  // one is told to the others by each. Empty: one instance.
  std::function<std::size_t()> instances = {};
  std::size_t tellers = 8;
  // A quarantine of a part that follows a trial is extended while requests with
  // it arrive, up to this age of its first crash.
  base::Duration max_quarantine = std::chrono::hours(6);
  // Maximum number of marks. When full, marks with the least evidence are
  // dropped, of these the ones that expire first, and quarantined ones only if
  // there is no suspect.
  std::size_t max_marks = 10000;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_OPTIONS_H_
