#include "fakes/run_journal.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"

namespace lynxglade::fakes {

using nlohmann::json;

std::string_view ToString(RunState state) noexcept {
  switch (state) {
    case RunState::kQueued:
      return "queued";
    case RunState::kStarted:
      return "started";
    case RunState::kFinished:
      return "finished";
    case RunState::kCancelled:
      return "cancelled";
    case RunState::kCrashed:
      break;
  }
  return "crashed";
}

RunIndex RunJournal::Add(RunRecord record) {
  runs_.push_back(std::move(record));
  return runs_.size() - 1;
}

void RunJournal::AddRefusal(RefusalRecord record) {
  refusals_.push_back(std::move(record));
}

void RunJournal::End(RunIndex index, RunState state, std::int64_t now_ms) {
  RunRecord& run = runs_.at(index);
  if (run.state == RunState::kQueued || run.state == RunState::kStarted) {
    run.state = state;
    run.ended_ms = now_ms;
  }
}

json RunJournal::RunsJson() const {
  json list = json::array();
  std::ranges::transform(
      runs_, std::back_inserter(list), [](const RunRecord& run) {
        return json{{"request_id", run.request_id},
                    {"attempt_id", run.attempt_id},
                    {"idempotency_key", run.idempotency_key},
                    {"prompt_hash", base::ToHex(run.prompt_hash.value())},
                    {"incarnation", run.incarnation},
                    {"prompt_tokens", run.prompt_tokens},
                    {"max_tokens", run.max_tokens},
                    {"resume_from", run.resume_from},
                    {"generated", run.generated},
                    {"phase", ToString(run.state)},
                    {"ran", run.ran},
                    {"kv_imported", run.kv_imported},
                    {"queued_ms", run.queued_ms},
                    {"ended_ms", run.ended_ms}};
      });
  return list;
}

json RunJournal::RefusalsJson() const {
  json list = json::array();
  std::ranges::transform(refusals_, std::back_inserter(list),
                         [](const RefusalRecord& refusal) {
                           return json{{"request_id", refusal.request_id},
                                       {"attempt_id", refusal.attempt_id},
                                       {"code", refusal.code},
                                       {"time_ms", refusal.time_ms}};
                         });
  return list;
}

}  // namespace lynxglade::fakes
