// Parser for the event stream of a model engine; checks that it is complete.
//
// Does no I/O. Private to TargetClient.
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

// Largest single event.
inline constexpr std::size_t kMaxEventBytes = 1u << 20;

// Parses the stream of one attempt and passes its tokens to a sink.
class EngineStream {
 public:
  enum class State {
    // More events are expected.
    kOpen,
    // The end marker was read.
    kEnded,
    // An event had the id of another attempt; it was not passed to the sink.
    kCrossed,
    // A malformed event, or an error event from the engine.
    kBad,
    // The sink returned false.
    kSinkClosed,
  };

  // `sink` must outlive this object.
  EngineStream(base::AttemptId attempt,
               base::Tokens resume_from,
               const request::TokenSink& sink);
  EngineStream(const EngineStream&) = delete;
  EngineStream& operator=(const EngineStream&) = delete;

  // Parses the next bytes. Returns false once the stream must not be read
  // further.
  bool Feed(std::string_view bytes);

  // Whether finish reason, usage and end marker were read and the number of
  // tokens matches the usage.
  bool IsComplete() const noexcept;

  State state() const noexcept { return state_; }
  // Whether an event of this attempt was read: the engine has started.
  bool started() const noexcept { return started_; }
  base::Tokens tokens() const noexcept { return tokens_; }
  const std::optional<request::Usage>& usage() const noexcept { return usage_; }
  const std::string& finish_reason() const noexcept { return finish_reason_; }
  const std::string& kv_transfer_params() const noexcept {
    return kv_transfer_params_;
  }
  // Set if the state is kBad or kCrossed.
  const std::string& message() const noexcept { return message_; }

 private:
  void HandleLine(std::string_view line);
  void HandleEvent(std::string_view data);
  void HandleChunk(const nlohmann::json& event);
  void HandleChoice(const nlohmann::json& event, const nlohmann::json& choice);
  void HandleUsage(const nlohmann::json& usage);
  void Fail(State state, std::string message);

  const std::string expected_id_;
  const base::Tokens resume_from_;
  const request::TokenSink& sink_;

  // Bytes of an incomplete line.
  std::string partial_;
  // Data lines of an incomplete event.
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
