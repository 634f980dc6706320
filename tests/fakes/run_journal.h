// Records the requests that a fake ran, including those before simulated
// crashes, so that tests can check whether and how often a request ran.
#ifndef LYNXGLADE_FAKES_RUN_JOURNAL_H_
#define LYNXGLADE_FAKES_RUN_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakes/token_text.h"

namespace lynxglade::fakes {

enum class RunState { kQueued, kStarted, kFinished, kCancelled, kCrashed };
std::string_view ToString(RunState state) noexcept;

// One accepted attempt.
struct RunRecord {
  std::string request_id;
  std::string attempt_id;
  std::string idempotency_key;
  PromptHash prompt_hash;
  std::int64_t incarnation = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  std::int64_t resume_from = 0;
  std::int64_t generated = 0;
  RunState state = RunState::kQueued;
  // Work was done for it, regardless of its final state.
  bool ran = false;
  bool kv_imported = false;
  std::int64_t queued_ms = 0;
  std::int64_t ended_ms = 0;
};

// One attempt that was rejected before any work.
struct RefusalRecord {
  std::string request_id;
  std::string attempt_id;
  std::string code;
  std::int64_t time_ms = 0;
};

// Index of a record in its journal.
using RunIndex = std::size_t;

// Not thread-safe.
class RunJournal {
 public:
  RunIndex Add(RunRecord record);
  void AddRefusal(RefusalRecord record);
  RunRecord& at(RunIndex index) { return runs_.at(index); }
  // Ends a run that has not ended yet.
  void End(RunIndex index, RunState state, std::int64_t now_ms);

  const std::vector<RunRecord>& runs() const noexcept { return runs_; }
  nlohmann::json RunsJson() const;
  nlohmann::json RefusalsJson() const;

 private:
  std::vector<RunRecord> runs_;
  std::vector<RefusalRecord> refusals_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_RUN_JOURNAL_H_
