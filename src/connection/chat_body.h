// Parsing and writing of chat-completions bodies.
#ifndef LYNXGLADE_CONNECTION_CHAT_BODY_H_
#define LYNXGLADE_CONNECTION_CHAT_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/units.h"
#include "request/relay.h"
#include "request/request.h"

namespace lynxglade::connection {

// The fields of a call that the system uses, and the body for engines.
struct ChatCall {
  base::ModelName model;
  bool stream = false;
  bool include_usage = false;
  base::Tokens prompt_tokens{0};
  base::Tokens max_output_tokens{0};
  std::uint64_t content_hash = 0;
  std::uint64_t prefix_hash = 0;
  // JSON sent to engines, without the fields that depend on the attempt.
  std::string engine_body;
};

// Parses and validates a caller's JSON. Unknown fields are passed on to the
// engine. On failure returns nullopt and sets `last_reason`.
std::optional<ChatCall> ParseChatCall(const std::string& body,
                                      std::string* last_reason);

// Members that are the same in all events of an answer.
struct ChatAnswerHead {
  std::string id;
  std::string model;
  std::int64_t created_s = 0;
};

// The next five return a server-sent event including its final blank line.
// Includes token_offset and token_count in addition to the usual members, so
// that a caller can detect missing tokens.
std::string ChatTokenEvent(const ChatAnswerHead& head,
                           const request::TokenChunk& tokens);
std::string ChatFinishEvent(const ChatAnswerHead& head,
                            const std::string& finish_reason);
std::string ChatUsageEvent(const ChatAnswerHead& head,
                           const request::Usage& usage);
std::string ChatDoneEvent();
// For a failure after the stream has started.
std::string ChatErrorEvent(const request::Refusal& refusal);

// The complete answer as one JSON object.
std::string ChatWholeBody(const ChatAnswerHead& head,
                          const request::Answer& answer);

// {"error":{...}}, see docs/PROTOCOLS.md.
std::string RefusalBody(const request::Refusal& refusal);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CHAT_BODY_H_
