// A request at an engine of the rig; implementation detail of engine.h.
#ifndef LYNXGLADE_TESTS_RIG_ENGINE_RUN_H_
#define LYNXGLADE_TESTS_RIG_ENGINE_RUN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "connection/event/http_types.h"
#include "rig/answer_data.h"
#include "rig/engine.h"

namespace lynxglade::rig {

inline constexpr int kDefaultPriority = 5;

struct Engine::Run {
  explicit Run(connection::event::asio::io_context& loop)
      : changed(loop, std::chrono::hours(1)) {}

  std::int64_t number = 0;
  std::string attempt;
  std::string expected_engine;
  std::string body;
  base::Time deadline{};
  int priority = kDefaultPriority;
  bool prefill_only = false;
  bool expects_stage = false;
  // KV cache to fetch, and when it was made.
  bool has_source = false;
  base::Time source_made{};
  bool fetches_parts = false;
  std::vector<std::pair<std::string, std::int64_t>> parts;
  std::int64_t prompt_tokens = 0;
  std::int64_t tokens_to_prefill = 0;
  std::int64_t tokens_to_generate = 0;
  std::int64_t generated = 0;
  AnswerFraming framing = AnswerFraming::kLength;
  // Events of the whole answer, and of what the caller had before.
  int total_events = 0;
  int first_event = 0;
  // How the answer is broken off: after this many events of the whole answer,
  // or inside the next one.
  struct EarlyEnd {
    int after_events = 0;
    bool inside_event = false;
    bool reset = false;
  };
  std::optional<EarlyEnd> early_end;
  bool cache_used = false;
  bool began = false;
  bool done = false;
  bool expired = false;
  bool left = false;
  // Events of the whole answer that are ready, and that were sent.
  int events = 0;
  int sent = 0;
  connection::event::asio::steady_timer changed;

  bool prefilled() const noexcept { return tokens_to_prefill <= 0; }
  std::int64_t tokens() const noexcept { return prompt_tokens + generated; }
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_ENGINE_RUN_H_
