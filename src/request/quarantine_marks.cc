// The life of marks: expiry, publication and eviction.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "request/quarantine.h"

namespace lynxglade::request {

namespace {

constexpr base::Duration kSweepInterval = std::chrono::milliseconds(250);
// Of full marks, one in so many is dropped at once.
constexpr std::size_t kEvictedPart = 16;

}  // namespace

bool Quarantine::RefreshMark(ContentHash content,
                             base::Time now,
                             Outbox* outbox) {
  const auto it = marks_.find(content);
  if (it == marks_.end()) {
    return false;
  }
  if (Expire(content, it->second, now, outbox)) {
    marks_.erase(it);
    return false;
  }
  std::erase_if(it->second.evidence, [&](const Evidence& evidence) {
    return !evidence.confirmed && now - evidence.at >= options_.confirm_timeout;
  });
  return it->second.is_suspect();
}

bool Quarantine::Expire(ContentHash content,
                        QuarantineMark& mark,
                        base::Time now,
                        Outbox* outbox) {
  if (mark.expires > now) {
    return false;
  }
  if (!mark.quarantined) {
    return true;
  }
  Note(QuarantineChange::kExpired, content, false, now, outbox);
  ++mark.epoch;
  mark.evidence.clear();
  mark.quarantined = false;
  mark.on_probation = true;
  mark.expires = now + std::max(options_.suspect_ttl, options_.quarantine_ttl);
  return false;
}

void Quarantine::Sweep(base::Time now, Outbox* outbox) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto it = marks_.begin(); it != marks_.end();) {
    const bool is_over = Expire(it->first, it->second, now, outbox);
    it = is_over ? marks_.erase(it) : std::next(it);
  }
  JudgeParts(now, outbox);
  for (auto& [target, crashes] : crashes_) {
    std::erase_if(crashes, [&](const Crash& it) {
      const base::Duration age = now - it.at;
      return age >=
             (it.confirmed ? options_.suspect_ttl : options_.confirm_timeout);
    });
  }
  std::erase_if(crashes_, [](const auto& it) { return it.second.empty(); });
  for (auto& [attempt, run] : runs_) {
    RenewRerunLeases(run, now, outbox);
    if (HasSettled(run, now)) {
      CountAnswer(run, now, outbox);
    }
  }
  std::erase_if(seen_crashes_, [&](const Evidence& it) {
    return now - it.at >= 2 * options_.other_crash_window;
  });
}

void Quarantine::ClearMark(ContentHash content,
                           QuarantineChange change,
                           base::Time now,
                           Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  Note(change, content, false, now, outbox);
  // Keep the empty mark until it expires: its higher epoch supersedes older
  // marks that still arrive from other instances.
  ++mark.epoch;
  mark.evidence.clear();
  mark.quarantined = false;
  mark.on_probation = change == QuarantineChange::kLifted;
  mark.owner = base::InstanceId();
  mark.rerun_target = base::TargetId();
  mark.expires = now + std::max(options_.suspect_ttl, options_.quarantine_ttl);
  PublishChange(content, now, outbox);
}

void Quarantine::PublishChange(ContentHash content,
                               base::Time now,
                               Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  ++mark.counter;
  outbox->items.push_back(EncodeMark(content, mark, self_, now));
}

void Quarantine::Note(QuarantineChange change,
                      ContentHash content,
                      bool merged,
                      base::Time now,
                      Outbox* outbox) const {
  if (!observe_) {
    return;
  }
  const QuarantineMark& mark = marks_.at(content);
  const EvidenceCount count = CountEvidence(mark, false);
  QuarantineEvent event{.change = change,
                        .content = content,
                        .is_part = mark.is_part,
                        .crashes = count.all,
                        .confirmed = CountEvidence(mark, true).all,
                        .alone = count.alone,
                        .merged = merged};
  if (!mark.evidence.empty()) {
    event.age = now - std::ranges::min(mark.evidence, {}, &Evidence::at).at;
    event.target = mark.evidence.back().target;
    event.shared = mark.evidence.back().shared;
    event.own_evidence =
        std::ranges::any_of(mark.evidence, [this](const Evidence& it) {
          return it.crash_id.starts_with(self_.str() + "/");
        });
  }
  outbox->events.push_back(std::move(event));
}

// Many at once, as each eviction orders all marks.
void Quarantine::EvictIfFull() {
  if (marks_.size() < options_.max_marks) {
    return;
  }
  std::vector<decltype(marks_)::iterator> least;
  for (auto it = marks_.begin(); it != marks_.end(); ++it) {
    least.push_back(it);
  }
  const auto n = static_cast<std::ptrdiff_t>(
      std::max<std::size_t>(1, least.size() / kEvictedPart));
  std::ranges::nth_element(
      least, least.begin() + n - 1, {}, [](const auto& it) {
        const QuarantineMark& mark = it->second;
        return std::tuple(mark.quarantined, mark.on_probation,
                          mark.evidence.size(), mark.expires);
      });
  std::for_each_n(least.begin(), n,
                  [this](const auto& it) { marks_.erase(it); });
}

void Quarantine::PublishAll(const Outbox& outbox) const {
  if (publish_) {
    std::ranges::for_each(outbox.items, publish_);
  }
  if (observe_) {
    std::ranges::for_each(outbox.events, observe_);
  }
}

}  // namespace lynxglade::request
