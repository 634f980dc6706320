// Keeps a request that crashes its targets from being run again and again.
//
// A content (the hash of what a target would run) that was under way at a
// target when it crashed is a suspect. A suspect is run again one at a time,
// at a target that did not crash lately and runs no other suspect. A second
// crash quarantines it; a clean delivery clears it. A quarantined content whose
// crashes all turn out to have another cause (a guilty content that shared
// one, a target that keeps dying) becomes a suspect again. Marks travel to
// other instances, expire, and can be lifted by an operator.
// See docs/notes/retries-and-quarantine.md.
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

namespace lynxglade::request {

// Why a content may not run at a target now.
enum class QuarantineDenial {
  kQuarantined,       // crashed two targets: refuse, outcome not-run
  kEvidencePending,   // lost twice, crashes not confirmed yet: come back later
  kSuspectRunning,    // its one re-run is under way here
  kSuspectElsewhere,  // its re-run belongs to another instance for now
  kTargetHasSuspect,  // the target runs another suspect: choose another
  kTargetCrashedLately,  // choose another target for a suspect
};
std::string_view ToString(QuarantineDenial denial) noexcept;
// Whether another target may be tried at once instead.
bool CanTryOtherTarget(QuarantineDenial denial) noexcept;

struct QuarantineOptions {
  // How long marks of suspicion and quarantine last.
  base::Duration suspect_ttl = std::chrono::minutes(10);
  base::Duration quarantine_ttl = std::chrono::hours(1);
  // A lost connection counts as a crash until this long has passed without
  // the crash being confirmed.
  base::Duration confirm_timeout = std::chrono::seconds(10);
  // For how long the instance that saw a crash alone may re-run the content.
  base::Duration rerun_lease = std::chrono::seconds(30);
  // For how long suspects avoid a target after it crashed.
  base::Duration crash_avoidance_time = std::chrono::minutes(2);
  // A target is held to keep dying by itself when it had so many crashes
  // within suspect_ttl that no quarantined content had a part in.
  std::size_t unstable_crash_count = 2;
  // Marks kept; beyond it the oldest suspect is dropped.
  std::size_t max_marks = 10000;
};

// One entry for operators.
struct QuarantineEntry {
  ContentHash content;
  bool quarantined = false;
  // Targets that crashed while they ran it, oldest first.
  std::vector<base::TargetId> crashed;
  // Contents that were under way at each of those crashes (1: it alone).
  std::vector<int> shared_with;
  base::Duration expires_in{};
};

// Thread-safe; one short lock, never held while `publish` runs.
class Quarantine {
 public:
  // Gets each mark that changed here, to be told to other instances.
  using Publish = std::function<void(const process::ViewItem&)>;

  Quarantine(QuarantineOptions options, base::InstanceId self, Publish publish);
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  // Whether the content is refused outright, before it is queued.
  bool IsQuarantined(ContentHash content, base::Time now);

  // Ask before every attempt, right before the first byte. True: the attempt
  // is under way and must be ended by exactly one of the three calls below.
  bool TryStart(ContentHash content,
                const base::TargetId& target,
                const base::AttemptId& attempt,
                base::Time now,
                QuarantineDenial* denial);
  // The whole answer came.
  void OnDelivered(const base::AttemptId& attempt, base::Time now);
  // Ended with nothing said about the content: refused, cancelled, timed out.
  void OnEnded(const base::AttemptId& attempt, base::Time now);
  // The connection died after bytes were sent and before the answer was
  // whole: a crash until OnTargetAlive says otherwise or it stays
  // unconfirmed.
  void OnLost(const base::AttemptId& attempt, base::Time now);

  // The target was seen to have crashed (connection refused after a loss, a
  // new incarnation): confirms the losses there.
  void OnTargetCrashed(const base::TargetId& target, base::Time now);
  // The target was seen running on as before, by something it said at
  // `seen_at`: takes back the losses there that are older than that by
  // kSameCrashWindow. Reports lag, and those made before a crash prove nothing.
  void OnTargetAlive(const base::TargetId& target, base::Time seen_at);

  // Call about once a second: keeps this instance's claim on the suspects that
  // it runs, and drops what expired.
  void Tick(base::Time now);

  // Another instance's mark. Returns whether it changed anything.
  bool Merge(const process::ViewItem& item, base::Time now);
  // Every mark, for an instance that joins.
  std::vector<process::ViewItem> Export(base::Time now);

  // Operators: what is marked, and taking a mark back everywhere.
  std::vector<QuarantineEntry> List(base::Time now);
  bool Lift(ContentHash content, base::Time now);

 private:
  struct Run {
    ContentHash content;
    base::TargetId target;
    base::Time started{};
    // Under suspicion now, and already when it began.
    bool suspect = false;
    bool rerun = false;
  };
  // A crash of a target as this instance saw it.
  struct Crash {
    std::string crash_id;
    base::Time at{};
    std::set<ContentHash> contents;
    bool confirmed = false;
  };
  using Outbox = std::vector<process::ViewItem>;

  std::optional<QuarantineDenial> Check(ContentHash content,
                                        const base::TargetId& target,
                                        base::Time now) const;
  bool HasSuspect(const base::TargetId& target,
                  ContentHash content,
                  base::Time now) const;
  bool CrashedLately(const base::TargetId& target, base::Time now) const;
  Crash& CrashOf(const base::TargetId& target,
                 base::Time started,
                 base::Time now);
  void Confirm(const base::TargetId& target,
               Crash& crash,
               base::Time now,
               Outbox* outbox);
  std::optional<Run> EndRun(const base::AttemptId& attempt,
                            base::Time now,
                            Outbox* outbox);
  void Own(ContentHash content,
           const base::TargetId& target,
           base::Time now,
           Outbox* outbox);
  // Tells other instances of runs here that began before the suspicion.
  void ClaimRuns(ContentHash content, base::Time now, Outbox* outbox);
  // Drops what is out of date in one mark; returns whether any is left.
  bool Refresh(ContentHash content, base::Time now);
  void Sweep(base::Time now, Outbox* outbox);
  void Judge(ContentHash content, base::Time now);
  // Frees quarantined contents whose crashes all have another explanation.
  void Reconsider(base::Time now, Outbox* outbox);
  bool IsExplained(ContentHash content, const Evidence& evidence) const;
  bool KeepsDying(const base::TargetId& target, ContentHash content) const;
  void Clear(ContentHash content, base::Time now, Outbox* outbox);
  void Changed(ContentHash content, base::Time now, Outbox* outbox);
  void MakeRoom();
  void Send(const Outbox& outbox) const;

  const QuarantineOptions options_;
  const base::InstanceId self_;
  const Publish publish_;
  std::mutex mutex_;
  std::uint64_t next_event_ = 1;
  base::Time next_sweep_{};
  std::map<ContentHash, QuarantineMark> marks_;
  std::map<base::AttemptId, Run> runs_;
  std::map<base::TargetId, std::vector<Crash>> crashes_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_H_
