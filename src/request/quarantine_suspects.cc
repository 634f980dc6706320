// Whether a suspect may be rerun, and by whom.
#include <algorithm>
#include <utility>

#include "request/quarantine.h"

namespace lynxglade::request {

namespace {

// Whether another instance than `self` reruns the content at the target.
bool IsRerunElsewhere(const QuarantineMark& mark,
                      const base::TargetId& target,
                      const base::InstanceId& self,
                      base::Time now) {
  return mark.rerun_target == target && mark.owner != self &&
         mark.owned_until > now;
}

}  // namespace

std::optional<QuarantineDenial> Quarantine::CheckSuspect(ContentHash content,
                                                         base::Time now) const {
  const QuarantineMark& mark = marks_.at(content);
  if (mark.quarantined) {
    return QuarantineDenial::kQuarantined;
  }
  if (IsConclusive(mark, false)) {
    return QuarantineDenial::kEvidencePending;
  }
  if (std::ranges::any_of(runs_, [content](const auto& it) {
        return it.second.identity.content == content;
      })) {
    return QuarantineDenial::kSuspectRunning;
  }
  if (mark.owner != self_ && !mark.owner.empty() && mark.owned_until > now) {
    return QuarantineDenial::kSuspectElsewhere;
  }
  return std::nullopt;
}

std::optional<QuarantineDenial> Quarantine::CheckTarget(
    ContentHash content,
    const base::TargetId& target,
    base::Time now) const {
  if (CrashedRecently(target, now)) {
    return QuarantineDenial::kTargetCrashedLately;
  }
  if (MustRunAlone(marks_.at(content)) ? HasSuspect(target, content, now)
                                       : HasLoneSuspect(target, now)) {
    return QuarantineDenial::kTargetHasSuspect;
  }
  return std::nullopt;
}

bool Quarantine::MustRunAlone(const QuarantineMark& mark) const {
  const EvidenceCount count = CountEvidence(mark, false);
  // Crashes during answers are weak evidence: many streams are broken by each
  // crash, and few targets have no suspect then.
  const std::size_t weight = count.all - (count.at_start == 0 ? 1 : 0);
  return mark.on_probation || options_.lone_rerun_after <= 1 ||
         (count.all > 0 && weight >= options_.lone_rerun_after);
}

bool Quarantine::HasLoneSuspect(const base::TargetId& target,
                                base::Time now) const {
  const auto is_lone = [this](const auto& it) {
    return !it.second.is_part && it.second.is_suspect() &&
           MustRunAlone(it.second);
  };
  const bool here = std::ranges::any_of(runs_, [&](const auto& it) {
    const auto mark = marks_.find(it.second.identity.content);
    return it.second.target == target && it.second.alone &&
           mark != marks_.end() && is_lone(*mark);
  });
  return here || std::ranges::any_of(marks_, [&](const auto& it) {
           return IsRerunElsewhere(it.second, target, self_, now) &&
                  is_lone(it);
         });
}

void Quarantine::MarkNotAlone(const base::TargetId& target,
                              ContentHash started) {
  if (options_.lone_rerun_after <= 1) {
    return;
  }
  for (auto& [attempt, run] : runs_) {
    if (run.target == target && run.identity.content != started) {
      run.alone = false;
    }
  }
}

bool Quarantine::HasSuspect(const base::TargetId& target,
                            ContentHash content,
                            base::Time now) const {
  const bool here = std::ranges::any_of(runs_, [&](const auto& it) {
    if (it.second.target != target) {
      return false;
    }
    // The content may have become a suspect after the run started.
    const auto mark = marks_.find(it.second.identity.content);
    return it.second.suspect ||
           (mark != marks_.end() && mark->second.is_suspect());
  });
  return here || std::ranges::any_of(marks_, [&](const auto& it) {
           return it.first != content &&
                  IsRerunElsewhere(it.second, target, self_, now);
         });
}

bool Quarantine::CrashedRecently(const base::TargetId& target,
                                 base::Time now) const {
  const auto is_recent = [&](base::Time at) {
    return now - at < options_.crash_avoidance_time;
  };
  const auto crashes = crashes_.find(target);
  if (crashes != crashes_.end() &&
      std::ranges::any_of(crashes->second, is_recent, &Crash::at)) {
    return true;
  }
  return std::ranges::any_of(marks_, [&](const auto& mark) {
    return std::ranges::any_of(mark.second.evidence, [&](const Evidence& it) {
      return it.target == target && is_recent(it.at);
    });
  });
}

void Quarantine::RememberAnswered(ContentHash key, base::Time now) {
  if (options_.answered_memory == base::Duration::zero()) {
    return;
  }
  if (now - answered_since_ >= options_.answered_memory ||
      answered_.size() >= options_.max_answered / 2) {
    answered_before_ = std::exchange(answered_, {});
    answered_since_ = now;
  }
  ++answered_[key];
}

bool Quarantine::IsAnswered(ContentHash content, base::Time now) const {
  const base::Duration age = now - answered_since_;
  return (age < 2 * options_.answered_memory && answered_.contains(content)) ||
         (age < options_.answered_memory && answered_before_.contains(content));
}

std::optional<Quarantine::Run> Quarantine::EndRun(
    const base::AttemptId& attempt,
    base::Time now,
    Outbox* outbox) {
  const auto it = runs_.find(attempt);
  if (it == runs_.end()) {
    return std::nullopt;
  }
  Run run = std::move(it->second);
  runs_.erase(it);
  for (const ContentHash part : run.identity.parts) {
    if (--parts_in_flight_[part] == 0) {
      parts_in_flight_.erase(part);
    }
  }
  // Releases the lease, so that another instance may rerun the content.
  const auto release = [&](ContentHash key) {
    const auto mark = marks_.find(key);
    if (mark != marks_.end() && mark->second.owner == self_) {
      mark->second.rerun_target = base::TargetId();
      mark->second.owned_until = now;
      PublishChange(key, now, outbox);
    }
  };
  if (run.suspect) {
    release(run.identity.content);
  }
  std::ranges::for_each(run.trials, release);
  return run;
}

void Quarantine::ClaimRerun(ContentHash content,
                            const base::TargetId& target,
                            base::Time now,
                            Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  mark.owner = self_;
  mark.owned_until = now + options_.rerun_lease;
  mark.rerun_target = target;
  PublishChange(content, now, outbox);
}

void Quarantine::RenewRerunLeases(const Run& run,
                                  base::Time now,
                                  Outbox* outbox) {
  const auto renew = [&](ContentHash key) {
    const auto it = marks_.find(key);
    if (it != marks_.end() && it->second.owner == self_ &&
        it->second.owned_until < now + options_.rerun_lease / 2) {
      ClaimRerun(key, run.target, now, outbox);
    }
  };
  if (run.suspect) {
    renew(run.identity.content);
  }
  std::ranges::for_each(run.trials, renew);
}

void Quarantine::ClaimRunningAttempts(ContentHash content,
                                      base::Time now,
                                      Outbox* outbox) {
  if (marks_.at(content).evidence.empty()) {
    return;
  }
  // Claim once per run; otherwise two instances would override each other's
  // claims indefinitely.
  for (auto& [attempt, run] : runs_) {
    if (run.identity.content == content && !std::exchange(run.suspect, true)) {
      ClaimRerun(content, run.target, now, outbox);
    }
  }
}

}  // namespace lynxglade::request
