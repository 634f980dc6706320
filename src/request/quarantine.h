// Keeps a request that crashes its targets from being run again and again.
//
// A content (the hash of what a target would run) that was under way at a
// target when it crashed is a suspect. A suspect is run again one at a time,
// at a target that did not crash lately and runs no other suspect. A second
// crash quarantines it; a clean delivery clears it. When the guilty content of
// a crash is found, the others' marks from that crash are taken back. Marks
// travel to other instances, expire, and can be lifted by an operator.
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

namespace lynxglade::request {

// A content as quarantine knows it.
using ContentHash = base::StrongNumber<struct ContentHashTag, std::uint64_t>;

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
bool IsTargetsFault(QuarantineDenial denial) noexcept;

struct QuarantineOptions {
  // How long marks of suspicion and quarantine last.
  base::Duration suspect_for = std::chrono::minutes(10);
  base::Duration quarantine_for = std::chrono::hours(1);
  // A lost connection counts as a crash until this long has passed without
  // the crash being confirmed.
  base::Duration confirm_within = std::chrono::seconds(5);
  // For how long the instance that saw a crash alone may re-run the content.
  base::Duration own_rerun_for = std::chrono::seconds(30);
  // For how long suspects avoid a target after it crashed.
  base::Duration crashed_lately = std::chrono::minutes(2);
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
  // The target was seen running on as before: takes the losses there back.
  void OnTargetAlive(const base::TargetId& target, base::Time now);

  // Another instance's mark. Returns whether it changed anything.
  bool Merge(const process::ViewItem& item, base::Time now);
  // Every mark, for an instance that joins.
  std::vector<process::ViewItem> Export(base::Time now);

  // Operators: what is marked, and taking a mark back everywhere.
  std::vector<QuarantineEntry> List(base::Time now);
  bool Lift(ContentHash content, base::Time now);

 private:
  // One crash of one target as one content saw it.
  struct Evidence {
    std::string event;  // names the crash over instances
    base::TargetId target;
    base::Time at{};
    int shared = 1;
    bool confirmed = false;
  };
  struct Mark {
    std::uint64_t epoch = 1;  // rises when the content is cleared or lifted
    std::uint64_t counter = 0;
    base::InstanceId owner;  // may re-run it
    base::Time owned_until{};
    std::vector<Evidence> evidence;
    base::Time expires{};
    bool quarantined = false;
  };
  struct Run {
    ContentHash content;
    base::TargetId target;
    bool suspect = false;
  };
  struct TargetRecord {
    // The current crash: losses within the confirmation time belong to it.
    std::string event;
    base::Time event_at{};
    base::Time crashed_at{};
    bool crashed = false;
    std::set<std::uint64_t> event_contents;
  };
  using Outbox = std::vector<process::ViewItem>;

  bool MayStart(ContentHash content,
                const base::TargetId& target,
                base::Time now,
                QuarantineDenial* denial);
  void Sweep(base::Time now, Outbox* outbox);
  void Judge(ContentHash content, Mark& mark, base::Time now, Outbox* outbox);
  void TakeBack(const std::string& event,
                ContentHash guilty,
                base::Time now,
                Outbox* outbox);
  void Clear(ContentHash content, Mark& mark, base::Time now, Outbox* outbox);
  void Changed(ContentHash content,
               Mark& mark,
               base::Time now,
               Outbox* outbox) const;
  process::ViewItem Encode(ContentHash content,
                           const Mark& mark,
                           base::Time now) const;
  void Send(const Outbox& outbox) const;

  const QuarantineOptions options_;
  const base::InstanceId self_;
  const Publish publish_;
  std::mutex mutex_;
  std::uint64_t next_event_ = 1;
  std::map<ContentHash, Mark> marks_;
  std::map<base::AttemptId, Run> runs_;
  std::map<base::TargetId, TargetRecord> targets_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_QUARANTINE_H_
