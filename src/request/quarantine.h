// Prevents requests that crash their targets from being run indefinitely.
//
// Requests are identified by their content, the hash of what a target would
// run, and by the parts of their prompts. Content that was in flight at a
// target when the target crashed becomes a suspect. A suspect is rerun by one
// attempt at a time, at a target that has not crashed recently and, from a
// number of crashes on, runs no other suspect. A second crash, during a rerun
// without other suspects, quarantines the content; a complete answer clears it.
// Quarantined content whose crashes all turn out to have another cause (other
// content that was in flight in the same crash, or an unstable target) becomes
// a suspect again. Marks are shared with the other instances, expire, and can
// be lifted by an operator; content whose quarantine has ended is on probation,
// where one crash of a rerun quarantines it again. See
// docs/design/retries-and-quarantine.md.
#ifndef LYNXGLADE_REQUEST_QUARANTINE_H_
#define LYNXGLADE_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "process/view_item.h"
#include "request/quarantine_mark.h"
#include "request/quarantine_options.h"
#include "request/run_identity.h"

namespace lynxglade::request {

// Why content may not run at a target now.
enum class QuarantineDenial {
  kQuarantined,       // crashed two targets: refuse, outcome not-run
  kEvidencePending,   // two losses, not yet confirmed as crashes: retry later
  kSuspectRunning,    // an attempt of the suspect is in flight here
  kSuspectElsewhere,  // another instance holds the lease on the rerun
  kTargetHasSuspect,  // the target runs another suspect
  kTargetCrashedLately,  // the target crashed recently
};
std::string_view ToString(QuarantineDenial denial) noexcept;
// Whether the denial is specific to the target, so that another target may be
// tried at once.
bool CanTryOtherTarget(QuarantineDenial denial) noexcept;

// Number of marks by state.
struct QuarantineCounts {
  std::size_t suspects = 0;
  std::size_t quarantined = 0;
};

// A change of what a content may do.
enum class QuarantineChange {
  // It was in flight when a connection to its target was lost.
  kSuspected,
  kQuarantined,
  // Requests with the quarantined part still arrive.
  kExtended,
  // A complete answer, or another cause of its crashes.
  kCleared,
  kReleased,
  kLifted,
  kExpired,
};
std::string_view ToString(QuarantineChange change) noexcept;

// For logs and metrics.
struct QuarantineEvent {
  QuarantineChange change = QuarantineChange::kSuspected;
  ContentHash content;
  bool is_part = false;
  // Crashes in the mark, those that are confirmed, and those during a rerun
  // without other suspects.
  std::size_t crashes = 0;
  std::size_t confirmed = 0;
  std::size_t alone = 0;
  // Time since the first of them.
  base::Duration age{};
  // The last target, and the number of contents that were in flight there.
  base::TargetId target;
  int shared = 0;
  // Learnt from another instance or the store.
  bool merged = false;
  // Some of the evidence is this instance's own.
  bool own_evidence = false;
};

// A mark as shown to operators.
struct QuarantineEntry {
  ContentHash content;
  bool is_part = false;
  bool quarantined = false;
  // Targets that crashed while the content was in flight there, in the order
  // that this instance learned of the crashes.
  std::vector<base::TargetId> crashed;
  // For each of these crashes, the number of contents in flight, this one
  // included.
  std::vector<int> shared_with;
  base::Duration expires_in{};
};

// Thread-safe. `publish` is called without a lock held.
class Quarantine {
 public:
  // Receives each mark that changed here, to be sent to the other instances.
  using Publish = std::function<void(const process::ViewItem&)>;

  // Receives what changed here; may be empty.
  using Observe = std::function<void(const QuarantineEvent&)>;

  Quarantine(QuarantineOptions options,
             base::InstanceId self,
             Publish publish,
             Observe observe = {});
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  // Whether the content is quarantined, to refuse it before it is queued.
  bool IsQuarantined(ContentHash content, base::Time now);
  // Why the content may not run at any target now, if so.
  std::optional<QuarantineDenial> Check(const RunIdentity& identity,
                                        base::Time now);
  std::optional<QuarantineDenial> Check(ContentHash content, base::Time now) {
    return Check(RunIdentity{content}, now);
  }
  // Until the mark of the content expires; zero if there is none.
  base::Duration TimeLeft(ContentHash content, base::Time now) const;
  // Until the last quarantine of the content or a part expires.
  base::Duration TimeLeft(const RunIdentity& identity, base::Time now) const;

  // Call before the first byte of each attempt is sent. If it returns true, the
  // attempt is registered and must be ended by exactly one of OnDelivered,
  // OnEnded and OnLost. If false, `*denial` is set.
  bool TryStart(const RunIdentity& identity,
                const base::TargetId& target,
                const base::AttemptId& attempt,
                base::Time now,
                QuarantineDenial* denial);
  bool TryStart(ContentHash content,
                const base::TargetId& target,
                const base::AttemptId& attempt,
                base::Time now,
                QuarantineDenial* denial) {
    return TryStart(RunIdentity{content}, target, attempt, now, denial);
  }
  // The first part of the answer arrived.
  void OnAnswering(const base::AttemptId& attempt, base::Time now);
  // The complete answer arrived.
  void OnDelivered(const base::AttemptId& attempt, base::Time now);
  // The attempt ended without evidence about the content: refused, cancelled or
  // timed out.
  void OnEnded(const base::AttemptId& attempt, base::Time now);
  // The connection was lost after bytes were sent and before the answer was
  // complete. Counts as a crash, unless OnTargetAlive refutes it or it is not
  // confirmed within confirm_timeout. `answering`: part of the answer had
  // arrived.
  void OnLost(const base::AttemptId& attempt,
              base::Time now,
              bool answering = false);

  // The target is known to have crashed (connection refused after a loss, or a
  // new incarnation). Confirms the recent losses at the target.
  void OnTargetCrashed(const base::TargetId& target, base::Time now);
  // The target reported at `seen_at` that it still runs. Refutes unconfirmed
  // losses at the target that are older than `seen_at` by kSameCrashWindow or
  // more. `seen_at` is when the report was made: one made before a loss does
  // not refute it.
  void OnTargetAlive(const base::TargetId& target, base::Time seen_at);

  // Call about once a second. Renews this instance's leases on the suspects
  // that it runs, and removes expired marks and crashes.
  void Tick(base::Time now);

  // Merges another instance's mark. Returns whether anything changed.
  bool Merge(const process::ViewItem& item, base::Time now);
  // All marks, for an instance that joins.
  std::vector<process::ViewItem> Export(base::Time now);
  // The mark of one content; nothing if it has none.
  std::optional<process::ViewItem> Export(ContentHash content, base::Time now);

  // For operators: the marked contents, and removing a mark on all instances.
  // Lift returns false if the content has no mark.
  std::vector<QuarantineEntry> List(base::Time now);
  bool Lift(ContentHash content, base::Time now);
  QuarantineCounts Count(base::Time now) const;

 private:
  struct Run {
    RunIdentity identity;
    base::TargetId target;
    base::Time started{};
    std::optional<base::Time> answering_since = {};
    // The content is a suspect now.
    bool suspect = false;
    // The content was a suspect when the run started.
    bool rerun = false;
    // No other suspect was rerun at the target at the same time.
    bool alone = false;
    // Parts of which this run is the trial.
    std::vector<ContentHash> trials = {};
    // Its answer has been counted for its parts.
    bool counted = false;
  };
  // A crash of a target as observed by this instance.
  struct Crash {
    std::string crash_id;
    base::Time at{};
    std::set<ContentHash> contents;
    std::set<ContentHash> parts;
    bool confirmed = false;
  };
  // What to publish once the lock is released.
  struct Outbox {
    std::vector<process::ViewItem> items;
    std::vector<QuarantineEvent> events;
  };

  // Whether a suspect may run at any target, and at this one.
  std::optional<QuarantineDenial> CheckSuspect(ContentHash content,
                                               base::Time now) const;
  std::optional<QuarantineDenial> CheckTarget(ContentHash content,
                                              const base::TargetId& target,
                                              base::Time now) const;
  // Why the parts of a run keep it from any target now. Adds those of which it
  // is a trial to `*trials`.
  std::optional<QuarantineDenial> CheckParts(const RunIdentity& identity,
                                             base::Time now,
                                             Outbox* outbox,
                                             std::vector<ContentHash>* trials);
  // Whether the request can tell whether the quarantined part is the cause of
  // its crashes.
  bool IsOpenToTrial(ContentHash part,
                     const RunIdentity& identity,
                     base::Time now) const;
  // Why no trial of the part may start now.
  std::optional<QuarantineDenial> CheckTrial(ContentHash part,
                                             base::Time now) const;
  void Extend(ContentHash part, base::Time now, Outbox* outbox);
  // Whether only a rerun without other suspects at the target can tell whether
  // the content is the cause of its crashes.
  bool MustRunAlone(const QuarantineMark& mark) const;
  // Whether the target runs such a suspect by itself.
  bool HasLoneSuspect(const base::TargetId& target, base::Time now) const;
  bool HasSuspect(const base::TargetId& target,
                  ContentHash content,
                  base::Time now) const;
  bool CrashedRecently(const base::TargetId& target, base::Time now) const;
  Crash& FindOrAddCrash(const base::TargetId& target,
                        base::Time started,
                        base::Time now);
  // The run was lost in the crash.
  void AddContentEvidence(const Run& run,
                          Crash& crash,
                          bool answering,
                          base::Time now,
                          Outbox* outbox);
  void AddPartEvidence(const Run& run,
                       Crash& crash,
                       base::Time now,
                       Outbox* outbox);
  const Evidence* FindSeen(const Evidence& crash) const;
  // What one instance has confirmed is true of all evidence of the crash.
  void ConfirmSeen(QuarantineMark& mark) const;
  // There is news of the confirmed crash.
  void NoteSeenCrash(const base::TargetId& target,
                     base::Time at,
                     base::Time now);
  // Whether the answer has gone on for long enough to speak for its parts.
  bool HasSettled(const Run& run, base::Time now) const;
  // Counts the run's answer for its parts, once.
  void CountAnswer(Run& run, base::Time now, Outbox* outbox);
  // The content's evidence of the crash; null if it was cleared or dropped.
  Evidence* FindEvidence(ContentHash content, const Crash& crash);
  void Confirm(const base::TargetId& target,
               Crash& crash,
               base::Time now,
               Outbox* outbox);
  void RememberAnswered(ContentHash key, base::Time now);
  bool IsAnswered(ContentHash content, base::Time now) const;
  std::optional<Run> EndRun(const base::AttemptId& attempt,
                            base::Time now,
                            Outbox* outbox);
  void ClaimRerun(ContentHash content,
                  const base::TargetId& target,
                  base::Time now,
                  Outbox* outbox);
  // Renews the leases that expire soon of the reruns that the attempt performs.
  void RenewRerunLeases(const Run& run, base::Time now, Outbox* outbox);
  // Claims the rerun for attempts that started before the content became a
  // suspect.
  void ClaimRunningAttempts(ContentHash content,
                            base::Time now,
                            Outbox* outbox);
  // Two suspects are rerun at one target: a crash there is not conclusive.
  void MarkNotAlone(const base::TargetId& target, ContentHash started);
  // Removes the mark if it expired, and its evidence that was not confirmed in
  // time. Returns whether the content is a suspect.
  bool RefreshMark(ContentHash content, base::Time now, Outbox* outbox);
  // Ends a quarantine that has expired. Returns whether the mark is to be
  // removed.
  bool Expire(ContentHash content,
              QuarantineMark& mark,
              base::Time now,
              Outbox* outbox);
  void Sweep(base::Time now, Outbox* outbox);
  // Whether the evidence is sufficient for a quarantine.
  bool IsConclusive(const QuarantineMark& mark, bool confirmed_only) const;
  // `final`: without the crashes that are not confirmed, and those for which
  // other instances' evidence may still arrive.
  bool IsPartConclusive(ContentHash part, bool final, base::Time now) const;
  void JudgeParts(base::Time now, Outbox* outbox);
  // How strongly the crashes speak against a content or part by themselves, in
  // crashes of a part that is not common.
  double Strength(ContentHash key,
                  const QuarantineMark& mark,
                  base::Time now) const;
  // Crashes of the part that no stronger mark explains.
  std::vector<Evidence> UnexplainedCrashes(ContentHash part,
                                           bool confirmed_only,
                                           base::Time now) const;
  // Whether a stronger mark has the crash: a quarantined one, or any part if
  // there is no verdict on `key`.
  bool IsExplainedByStronger(ContentHash key,
                             const Evidence& evidence,
                             base::Time now) const;
  void EraseRecent(base::Time now, std::vector<Evidence>* crashes) const;
  // Whether another quarantined mark that is as strong has the part's last
  // crash.
  bool IsTied(ContentHash part, base::Time now) const;
  // Whether there were crashes lately that neither the part nor quarantined
  // marks explain.
  bool HasOtherCrashes(const QuarantineMark& part, base::Time now) const;
  bool IsCommon(ContentHash part) const;
  // Whether the next answer on a common part is told to the other instances.
  bool TellsAnswer();
  // Whether answers, or a stronger mark, speak against the verdict on a part,
  // and whether they have for long enough to end it at all instances.
  bool IsPartRefuted(ContentHash part, base::Time now) const;
  bool IsPartReleased(ContentHash part, base::Time now) const;
  void UpdateQuarantine(ContentHash content,
                        base::Time now,
                        bool merged,
                        Outbox* outbox);
  // Turns quarantined contents whose crashes all have another cause back into
  // suspects.
  void ReleaseExplained(base::Time now, Outbox* outbox);
  bool IsExplained(ContentHash content, const Evidence& evidence) const;
  bool IsUnstable(const base::TargetId& target, ContentHash content) const;
  // Whether the content, or quarantined content, was in flight in the crash.
  bool IsAttributed(const base::TargetId& target,
                    const Crash& crash,
                    ContentHash content) const;
  void ClearMark(ContentHash content,
                 QuarantineChange change,
                 base::Time now,
                 Outbox* outbox);
  void PublishChange(ContentHash content, base::Time now, Outbox* outbox);
  void Note(QuarantineChange change,
            ContentHash content,
            bool merged,
            base::Time now,
            Outbox* outbox) const;
  // Makes room for one mark.
  void EvictIfFull();
  void PublishAll(const Outbox& outbox) const;

  const QuarantineOptions options_;
  const base::InstanceId self_;
  const Publish publish_;
  const Observe observe_;
  mutable std::mutex mutex_;
  std::uint64_t next_event_ = 1;
  base::Time next_sweep_{};
  std::map<ContentHash, QuarantineMark> marks_;
  std::map<base::AttemptId, Run> runs_;
  // Answers on contents and parts, in two generations: the older one is dropped
  // when the newer one is full or old.
  std::map<ContentHash, int> answered_;
  std::map<ContentHash, int> answered_before_;
  base::Time answered_since_{};
  std::size_t common_answers_seen_ = 0;
  // Runs with each part.
  std::map<ContentHash, int> parts_in_flight_;
  // Confirmed crashes, of this instance and others.
  std::vector<Evidence> seen_crashes_;
  std::map<base::TargetId, std::vector<Crash>> crashes_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_H_
