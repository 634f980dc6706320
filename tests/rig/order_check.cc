// Answers as callers read them, against what the engines' runs would have made.
#include <algorithm>
#include <string_view>

#include "rig/answer_data.h"
#include "rig/checker.h"
#include "rig/format.h"

namespace lynxglade::rig {

namespace {

constexpr unsigned kOk = 200;

struct OrderCount {
  std::size_t answers = 0;
  std::size_t other_bytes = 0;
  std::size_t cut_events = 0;
  std::size_t ended_early = 0;
  // Ended early, which nothing that was sent shows.
  std::size_t unseen = 0;

  std::size_t Faults() const { return other_bytes + cut_events + ended_early; }
};

// What the run of an attempt makes, and where its events end.
struct ExpectedAnswer {
  std::string body;
  std::vector<std::size_t> boundaries;
};

ExpectedAnswer ExpectAnswer(const CallerAttempt& attempt, int events) {
  ExpectedAnswer expected;
  if (events == 0) {
    expected.body = PlainBody(attempt.id);
    return expected;
  }
  for (int i = 1; i <= events; ++i) {
    expected.body += EventText(attempt.id, i);
    expected.boundaries.push_back(expected.body.size());
  }
  return expected;
}

// Whether the run's end looked like that of a whole answer: it was closed, or
// its process ended, between two events, and nothing else delimits its answer.
bool EndIsUnseen(const Arrival& run) {
  return run.until_close && (run.ending == AnswerEnding::kCutBetween ||
                             run.ending == AnswerEnding::kUnknown);
}

void CountAnswer(const CallerAttempt& attempt,
                 const Arrival& last_run,
                 OrderCount* count) {
  ++count->answers;
  const ExpectedAnswer expected = ExpectAnswer(attempt, last_run.events);
  const std::string_view body = attempt.body;
  if (!expected.body.starts_with(body)) {
    ++count->other_bytes;
    return;
  }
  const bool at_boundary =
      last_run.events == 0 || body.empty() ||
      std::ranges::find(expected.boundaries, body.size()) !=
          expected.boundaries.end();
  if (!at_boundary) {
    ++count->cut_events;
    return;
  }
  if (!attempt.complete || body.size() == expected.body.size()) {
    return;
  }
  const bool unseen = EndIsUnseen(last_run) && !body.empty();
  ++(unseen ? count->unseen : count->ended_early);
}

}  // namespace

BoundUse CheckOrder(const RunRecords& records) {
  std::map<std::string, const Arrival*> last_runs;
  for (const Arrival& it : records.arrivals) {
    if (it.prefill_only || it.end != ArrivalEnd::kRan) {
      continue;
    }
    const Arrival*& last = last_runs[it.attempt];
    if (!last || it.at > last->at) {
      last = &it;
    }
  }
  OrderCount count;
  for (const CallerRequestRecord& request : records.requests) {
    for (const CallerAttempt& it : request.attempts) {
      if (it.status != kOk) {
        continue;
      }
      const auto run = last_runs.find(it.id);
      if (run != last_runs.end()) {
        CountAnswer(it, *run->second, &count);
      } else {
        // No engine ran it.
        ++count.answers;
        ++count.other_bytes;
      }
    }
  }
  return {RigBound::kOrder, "",
          count.Faults() == 0 ? 0 : 1 + static_cast<double>(count.Faults()),
          Format("of %zu answers %zu with other bytes, %zu with a cut event, "
                 "%zu complete and short; %zu more whose end nothing shows",
                 count.answers, count.other_bytes, count.cut_events,
                 count.ended_early, count.unseen)};
}

}  // namespace lynxglade::rig
