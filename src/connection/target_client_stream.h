// Reads a model engine's event stream and decides whether it is whole.
//
// Pure: bytes in, tokens out. Private to TargetClient.
#ifndef LYNXGLADE_CONNECTION_TARGET_CLIENT_STREAM_H_
#define LYNXGLADE_CONNECTION_TARGET_CLIENT_STREAM_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "base/ids.h"
#include "base/units.h"
#include "request/attempt.h"

namespace lynxglade::connection {

// Largest single event; an event carries one chunk of text.
inline constexpr std::size_t kMaxEventBytes = 1u << 20;

// What has been seen of one attempt's stream.
class EngineStream {
 public:
  enum class State {
    // More may come.
    kOpen,
    // The end marker came.
    kEnded,
    // An event of another attempt came; none of it was passed on.
    kCrossed,
    // Something that is no event of this protocol, or the engine's own error.
    kBad,
    // The sink wants no more.
    kSinkClosed,
  };

  // `sink` outlives this object.
  EngineStream(base::AttemptId attempt,
               base::Tokens resume_from,
               const request::TokenSink& sink);
  EngineStream(const EngineStream&) = delete;
  EngineStream& operator=(const EngineStream&) = delete;

  // Takes the next bytes; false once nothing more is wanted.
  bool Feed(std::string_view bytes);

  // Finish reason, usage and the end marker came, and the tokens add up.
  bool IsWhole() const noexcept;

  State state() const noexcept { return state_; }
  // True once an event of this attempt came: the engine has started.
  bool started() const noexcept { return started_; }
  base::Tokens tokens() const noexcept { return tokens_; }
  const std::optional<request::Usage>& usage() const noexcept { return usage_; }
  const std::string& finish_reason() const noexcept { return finish_reason_; }
  const std::string& kv_transfer_params() const noexcept {
    return kv_transfer_params_;
  }
  // Why the state is kBad.
  const std::string& message() const noexcept { return message_; }

 private:
  void TakeLine(std::string_view line);
  void TakeEvent(std::string_view data);
  void TakeChunk(const nlohmann::json& event);
  void TakeChoice(const nlohmann::json& event, const nlohmann::json& choice);
  void TakeUsage(const nlohmann::json& usage);
  void Fail(State state, std::string message);

  const std::string expected_id_;
  const base::Tokens resume_from_;
  const request::TokenSink& sink_;

  // Bytes of a line whose end has not come.
  std::string partial_;
  // Data lines of an event whose blank line has not come.
  std::string data_;

  State state_ = State::kOpen;
  bool started_ = false;
  base::Tokens tokens_{0};
  std::optional<request::Usage> usage_;
  std::string finish_reason_;
  std::string kv_transfer_params_;
  std::string message_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CLIENT_STREAM_H_
