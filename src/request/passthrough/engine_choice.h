// Which target runs a request.
//
// For a prompt, each engine is judged by when it would begin to generate: the
// prompt it has yet to read for others, then what it has to read of this one.
// Shared parts count as read at their home, the prefill engine that all
// instances agree on without a message (rendezvous hashing), and where this
// instance sent them lately. A prefill engine reads at full speed, but the KV
// cache then has to move to a decode engine. Plain requests go to the target
// with the fewest requests.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_CHOICE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_CHOICE_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/prompt.h"

namespace lynxglade::request::passthrough {

struct EngineChoiceOptions {
  base::ZoneId zone;
  // Prompt tokens a prefill engine reads in a millisecond. The users' sheets
  // give 37.9 and 56.6; only the ratio to the times below matters.
  double prefill_tokens_per_ms = 45;
  // A decode engine reads at this part of that speed (users' protocol page).
  double decode_read_factor = 0.5;
  // A decode engine reads a prompt in chunks of about this many tokens (a
  // quarter of the users' 4,096), and each chunk holds up every request that
  // it generates for. Where a prefill engine can read, longer prompts are not
  // read at a decode engine: while one read 50,000 tokens, the pauses of all
  // its streams grew from 60 ms to 400 ms.
  std::int64_t most_read_at_decoder = 1024;
  // What a prompt costs besides its tokens when its KV cache moves between
  // engines: the extra call, the set-up and the transfer.
  double handoff_ms = 20;
  // What a request at an engine costs the next one, by longer steps: a step
  // grows by about 0.09 ms a slot, and a first token waits for a few steps.
  double running_ms = 0.5;
  // Added for a target of another availability zone: the round trip, and the
  // worth of the bytes between zones.
  double other_zone_ms = 4;
  // How long a part that this instance sent somewhere counts as cached there.
  base::Duration remembered = std::chrono::seconds(8);
  // Pairs of engine and part that are remembered at most.
  std::size_t max_remembered = 20'000;
  // How long a reported load says something.
  base::Duration report_lifetime = std::chrono::seconds(1);
};

// The engines chosen for one attempt.
struct EnginePick {
  // Runs the request; null: no target may take it.
  EngineHandle runner;
  // Reads the prompt first, or null.
  EngineHandle reader;
  // Tokens the reader (or else the runner) is expected to read.
  std::int64_t unread_tokens = 0;
  // When generation is expected to begin, from now.
  double expected_ms = 0;
};

// Not thread-safe: lives on the event loop.
class EngineChoice {
 public:
  EngineChoice(EngineChoiceOptions options, base::RandomSource random);
  EngineChoice(const EngineChoice&) = delete;
  EngineChoice& operator=(const EngineChoice&) = delete;

  // Chooses among `engines` (one service), leaving out those in `tried`.
  // `pairs` allows a separate reader.
  EnginePick Pick(const std::vector<EngineHandle>& engines,
                  const Prompt& prompt,
                  const std::vector<base::TargetId>& tried,
                  bool pairs,
                  base::Time now);

  // The engine to run a request whose KV cache waits at `reader`.
  EngineHandle PickDecoder(const std::vector<EngineHandle>& engines,
                           const Engine& reader,
                           const std::vector<base::TargetId>& tried,
                           base::Time now) const;

  // The prompt was sent to that engine: its parts count as cached there.
  void Remember(const Engine& engine, const Prompt& prompt, base::Time now);

 private:
  EnginePick PickPlain(const std::vector<EngineHandle>& usable, base::Time now);
  EnginePick PickForPrompt(const std::vector<EngineHandle>& usable,
                           const Prompt& prompt,
                           bool pairs,
                           base::Time now);
  EngineHandle LeastLoaded(const std::vector<EngineHandle>& usable,
                           base::Time now) const;
  std::vector<EngineHandle> Usable(const std::vector<EngineHandle>& engines,
                                   const std::vector<base::TargetId>& tried,
                                   base::Time now) const;
  const Engine* Home(const std::vector<EngineHandle>& engines,
                     const std::string& part) const;
  // Until the engine has read so many tokens, after what it has to read.
  double ReadMs(const Engine& engine,
                std::int64_t unread,
                base::Time now) const noexcept;
  double ReadRate(const Engine& engine) const noexcept;
  double ZoneMs(const Engine& engine) const noexcept;
  // Requests at the engine, as far as is known here.
  double Load(const Engine& engine, base::Time now) const noexcept;
  std::int64_t UnreadTokens(const Engine& engine,
                            const Engine* home,
                            const Prompt& prompt,
                            base::Time now) const;

  const EngineChoiceOptions options_;
  const base::RandomSource random_;
  // By engine and part: when this instance last sent the part there.
  std::unordered_map<std::string, base::Time> remembered_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_CHOICE_H_
