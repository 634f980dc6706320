// What crashes and answers say about the parts of prompts, and which requests
// with a quarantined part are trials.
#include <algorithm>
#include <set>
#include <utility>

#include "request/quarantine.h"

namespace lynxglade::request {

namespace {

// Crashes that are remembered to recognise those without a given part.
constexpr std::size_t kMaxSeenCrashes = 256;

// In crashes.
constexpr double kVerdictMargin = 0.9;

// Answers that are counted between two crashes: they take back all of them.
constexpr int kMaxAnswersCounted = 100;

// Tags rarely collide, and then leave a crash unexplained.
std::uint32_t ContentTag(ContentHash content) {
  return static_cast<std::uint32_t>(content.low()) + 1;
}

// The last crash before the time; null if there is none.
Evidence* LastBefore(QuarantineMark& mark, base::Time time) {
  Evidence* last = nullptr;
  for (Evidence& it : mark.evidence) {
    if (it.at < time && (!last || it.at > last->at)) {
      last = &it;
    }
  }
  return last;
}

// Crashes of one organisation's requests may have a cause that only these have,
// whatever part they name.
bool IsOfOthers(const QuarantineMark& mark, const RunIdentity& identity) {
  std::set<std::uint32_t> organisations;
  for (const Evidence& it : mark.evidence) {
    organisations.insert(it.organisation);
  }
  return organisations.size() == 1 && *organisations.begin() != 0 &&
         *organisations.begin() != identity.organisation;
}

// Whether there were so many answers on the part after its last crash.
bool HasAnsweredSince(const QuarantineMark& mark, int answers) {
  return !mark.evidence.empty() &&
         std::ranges::max(mark.evidence, {}, &Evidence::at).answers >= answers;
}

}  // namespace

void Quarantine::AddPartEvidence(const Run& run,
                                 Crash& crash,
                                 base::Time now,
                                 Outbox* outbox) {
  const Evidence lost{
      .crash_id = crash.crash_id,
      .target = run.target,
      .at = crash.at,
      .shared = static_cast<int>(crash.contents.size()),
      .confirmed = crash.confirmed,
      .ran = std::max(crash.at - run.started, base::Duration::zero()),
      .content = ContentTag(run.identity.content),
      .organisation = run.identity.organisation};
  if (lost.confirmed) {
    NoteSeenCrash(lost.target, lost.at, now);
  }
  for (const ContentHash part : run.identity.parts) {
    if (!marks_.contains(part)) {
      EvictIfFull();
    }
    crash.parts.insert(part);
    QuarantineMark& mark = marks_[part];
    mark.is_part = true;
    if (Evidence* known = FindSame(mark, lost)) {
      FoldPartEvidence(lost, *known);
      // This instance is to find it again when its own check has ended.
      known->crash_id = crash.crash_id;
    } else {
      AddEvidence(lost, mark);
    }
    ConfirmSeen(mark);
    mark.expires = std::max(mark.expires, now + options_.suspect_ttl);
    Note(QuarantineChange::kSuspected, part, false, now, outbox);
    UpdateQuarantine(part, now, false, outbox);
    PublishChange(part, now, outbox);
  }
}

const Evidence* Quarantine::FindSeen(const Evidence& crash) const {
  const auto it = std::ranges::find_if(
      seen_crashes_,
      [&crash](const Evidence& seen) { return IsSameCrash(crash, seen); });
  return it == seen_crashes_.end() ? nullptr : &*it;
}

void Quarantine::NoteSeenCrash(const base::TargetId& target,
                               base::Time at,
                               base::Time now) {
  const Evidence crash{.target = target, .at = at, .learnt = now};
  for (Evidence& it : seen_crashes_) {
    if (IsSameCrash(crash, it)) {
      it.learnt = now;
      return;
    }
  }
  if (seen_crashes_.size() >= kMaxSeenCrashes) {
    return;
  }
  seen_crashes_.push_back(crash);
  for (auto& [key, mark] : marks_) {
    for (Evidence& it : mark.evidence) {
      it.confirmed = it.confirmed || (mark.is_part && IsSameCrash(it, crash));
    }
  }
}

void Quarantine::ConfirmSeen(QuarantineMark& mark) const {
  for (Evidence& it : mark.evidence) {
    it.confirmed = it.confirmed || FindSeen(it);
  }
}

bool Quarantine::HasSettled(const Run& run, base::Time now) const {
  return run.answering_since &&
         now - *run.answering_since >= options_.settle_time;
}

void Quarantine::CountAnswer(Run& run, base::Time now, Outbox* outbox) {
  if (std::exchange(run.counted, true)) {
    return;
  }
  for (const ContentHash part : run.identity.parts) {
    RememberAnswered(part, now);
    const auto it = marks_.find(part);
    if (it == marks_.end()) {
      continue;
    }
    QuarantineMark& mark = it->second;
    if (mark.on_probation && !mark.quarantined && mark.evidence.empty()) {
      ClearMark(part, QuarantineChange::kCleared, now, outbox);
      continue;
    }
    Evidence* before = LastBefore(mark, run.started);
    if (!before || before->answers >= kMaxAnswersCounted) {
      continue;
    }
    const bool matters = Strength(part, mark, now) > 0;
    // A trial is one of few runs that may answer.
    before->answers += mark.quarantined ? options_.answers_per_crash : 1;
    if (matters && (!IsCommon(part) || TellsAnswer())) {
      PublishChange(part, now, outbox);
    }
  }
  ReleaseExplained(now, outbox);
}

bool Quarantine::TellsAnswer() {
  const std::size_t instances = options_.instances ? options_.instances() : 1;
  return ++common_answers_seen_ %
             std::max<std::size_t>(1, instances / options_.tellers) ==
         0;
}

bool Quarantine::IsCommon(ContentHash part) const {
  const auto count = [part](const std::map<ContentHash, int>& answered) {
    const auto it = answered.find(part);
    return it == answered.end() ? 0 : it->second;
  };
  return count(answered_) + count(answered_before_) +
             options_.answers_per_run * count(parts_in_flight_) >=
         options_.common_answers;
}

double Quarantine::Strength(ContentHash key,
                            const QuarantineMark& mark,
                            base::Time now) const {
  auto crashes = DistinctCrashes(mark, true);
  EraseRecent(now, &crashes);
  const double score =
      ScoreCrashes(std::move(crashes), options_.answers_per_crash);
  return IsCommon(key)
             ? score + options_.part_crashes - options_.common_part_crashes
             : score;
}

// Evidence of other instances may not have arrived.
void Quarantine::EraseRecent(base::Time now,
                             std::vector<Evidence>* crashes) const {
  std::erase_if(*crashes, [&](const Evidence& it) {
    const Evidence* seen = FindSeen(it);
    return now - (seen ? seen->learnt : it.at) < options_.verdict_delay;
  });
}

bool Quarantine::IsExplainedByStronger(ContentHash key,
                                       const Evidence& evidence,
                                       base::Time now) const {
  const QuarantineMark& own = marks_.at(key);
  // A verdict stands against one that is only a little stronger.
  const double strength =
      Strength(key, own, now) + (own.quarantined ? kVerdictMargin : 0);
  return std::ranges::any_of(marks_, [&](const auto& it) {
    const auto& [other, mark] = it;
    if (other == key || !HasSameCrash(mark, evidence)) {
      return false;
    }
    // A content is quarantined for a crash that it caused alone: runs of other
    // contents did not. It explains no more crashes than it was in.
    const bool is_cause = !mark.is_part && mark.quarantined &&
                          evidence.content != 0 &&
                          evidence.content != ContentTag(other);
    const bool counts = mark.quarantined || (mark.is_part && !own.quarantined);
    const double rival = Strength(other, mark, now);
    return (is_cause && rival >= strength) || (counts && rival > strength);
  });
}

std::vector<Evidence> Quarantine::UnexplainedCrashes(ContentHash part,
                                                     bool confirmed_only,
                                                     base::Time now) const {
  auto crashes = DistinctCrashes(marks_.at(part), confirmed_only);
  std::erase_if(crashes, [&](const Evidence& it) {
    return it.explained || IsExplainedByStronger(part, it, now);
  });
  return crashes;
}

bool Quarantine::IsPartConclusive(ContentHash part,
                                  bool final,
                                  base::Time now) const {
  const QuarantineMark& mark = marks_.at(part);
  const double least = mark.on_probation ? 1 : options_.part_crashes;
  // Most marks end here; what follows looks at all of them.
  if (static_cast<double>(mark.evidence.size()) < least ||
      ScoreCrashes(DistinctCrashes(mark, final), options_.answers_per_crash) <
          least) {
    return false;
  }
  double needed = least;
  if (!mark.on_probation) {
    needed = IsCommon(part)               ? options_.common_part_crashes
             : HasOtherCrashes(mark, now) ? options_.part_crashes_beside_others
                                          : options_.part_crashes;
  }
  auto crashes = UnexplainedCrashes(part, final, now);
  if (final) {
    EraseRecent(now, &crashes);
  }
  return ScoreCrashes(std::move(crashes), options_.answers_per_crash) >= needed;
}

void Quarantine::JudgeParts(base::Time now, Outbox* outbox) {
  for (const auto& [key, mark] : marks_) {
    if (mark.is_part && !mark.quarantined && !mark.evidence.empty()) {
      UpdateQuarantine(key, now, false, outbox);
    }
  }
  ReleaseExplained(now, outbox);
}

bool Quarantine::HasOtherCrashes(const QuarantineMark& part,
                                 base::Time now) const {
  const base::Time last = std::ranges::max(part.evidence, {}, &Evidence::at).at;
  return std::ranges::any_of(seen_crashes_, [&](const Evidence& crash) {
    return std::chrono::abs(last - crash.at) < options_.other_crash_window &&
           !HasSameCrash(part, crash) &&
           std::ranges::none_of(
               marks_,
               [&crash](const auto& other) {
                 return other.second.quarantined &&
                        HasSameCrash(other.second, crash);
               });
  });
}

bool Quarantine::IsTied(ContentHash part, base::Time now) const {
  const QuarantineMark& own = marks_.at(part);
  if (own.evidence.empty()) {
    return false;
  }
  const Evidence& last = std::ranges::max(own.evidence, {}, &Evidence::at);
  const double strength = Strength(part, own, now);
  return std::ranges::any_of(marks_, [&](const auto& it) {
    const auto& [other, mark] = it;
    return other != part && mark.quarantined && HasSameCrash(mark, last) &&
           Strength(other, mark, now) >= strength;
  });
}

bool Quarantine::IsPartRefuted(ContentHash part, base::Time now) const {
  return ScoreCrashes(UnexplainedCrashes(part, true, now),
                      options_.answers_per_crash) <=
         (marks_.at(part).on_probation ? 0 : 1);
}

// Until all instances have the same evidence, each decides for itself whether
// the verdict holds. An instance that lacks some of the evidence may take
// another part for the cause: only answers end the verdict at all of them.
bool Quarantine::IsPartReleased(ContentHash part, base::Time now) const {
  const QuarantineMark& mark = marks_.at(part);
  return HasAnsweredSince(mark, options_.answers_per_crash) &&
         std::ranges::all_of(mark.evidence,
                             [&](const Evidence& it) {
                               return now - std::max(it.at, it.learnt) >=
                                      options_.release_delay;
                             }) &&
         IsPartRefuted(part, now);
}

bool Quarantine::IsOpenToTrial(ContentHash part,
                               const RunIdentity& identity,
                               base::Time now) const {
  const auto is_tied = [&](ContentHash it) {
    const auto mark = marks_.find(it);
    return mark != marks_.end() && mark->second.quarantined && IsTied(it, now);
  };
  const QuarantineMark& mark = marks_.at(part);
  if (IsOfOthers(mark, identity)) {
    return true;
  }
  if (is_tied(part)) {
    // With two of them it would tell nothing.
    return std::ranges::count_if(identity.parts, is_tied) == 1;
  }
  // Most of what has it was harmless until now.
  return IsCommon(part) &&
         Strength(part, mark, now) <= options_.common_part_crashes;
}

std::optional<QuarantineDenial> Quarantine::CheckTrial(ContentHash part,
                                                       base::Time now) const {
  if (std::ranges::any_of(runs_, [part](const auto& it) {
        return std::ranges::find(it.second.trials, part) !=
               it.second.trials.end();
      })) {
    return QuarantineDenial::kSuspectRunning;
  }
  const QuarantineMark& mark = marks_.at(part);
  if (mark.owner != self_ && !mark.owner.empty() && mark.owned_until > now) {
    return QuarantineDenial::kSuspectElsewhere;
  }
  return std::nullopt;
}

std::optional<QuarantineDenial> Quarantine::CheckParts(
    const RunIdentity& identity,
    base::Time now,
    Outbox* outbox,
    std::vector<ContentHash>* trials) {
  std::optional<QuarantineDenial> denied;
  for (const ContentHash part : identity.parts) {
    if (!RefreshMark(part, now, outbox)) {
      continue;
    }
    UpdateQuarantine(part, now, false, outbox);
    const QuarantineMark& mark = marks_.at(part);
    const bool is_quarantined = mark.quarantined && !IsPartRefuted(part, now);
    if (is_quarantined && !IsOpenToTrial(part, identity, now)) {
      Extend(part, now, outbox);
      return QuarantineDenial::kQuarantined;
    }
    if (is_quarantined || (mark.on_probation && mark.evidence.empty())) {
      denied = denied ? denied : CheckTrial(part, now);
      trials->push_back(part);
    } else if (!denied && !mark.quarantined &&
               IsPartConclusive(part, false, now)) {
      denied = QuarantineDenial::kEvidencePending;
    }
  }
  return denied;
}

void Quarantine::Extend(ContentHash part, base::Time now, Outbox* outbox) {
  QuarantineMark& mark = marks_.at(part);
  if (!mark.on_probation || mark.evidence.empty() ||
      mark.expires - now >= options_.quarantine_ttl / 2 ||
      now - std::ranges::min(mark.evidence, {}, &Evidence::at).at >=
          options_.max_quarantine) {
    return;
  }
  ++mark.epoch;
  mark.expires = now + options_.quarantine_ttl;
  Note(QuarantineChange::kExtended, part, false, now, outbox);
  PublishChange(part, now, outbox);
}

}  // namespace lynxglade::request
