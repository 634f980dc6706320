// The body of a chat-completions call: what a caller sends, and what it gets.
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

// What the system needs to know of a call, and the body engines get.
struct ChatCall {
  base::ModelName model;
  bool stream = false;
  bool include_usage = false;
  base::Tokens prompt_tokens{0};
  base::Tokens max_output_tokens{0};
  std::uint64_t content_hash = 0;
  std::uint64_t prefix_hash = 0;
  // JSON text for engines, without the fields of one attempt.
  std::string engine_body;
};

// Reads and checks a caller's JSON. Unknown fields are passed on to the
// engine. On failure returns nothing and says in `last_reason` what is wrong.
std::optional<ChatCall> ParseChatCall(const std::string& body,
                                      std::string* last_reason);

// Identity of an answer, the same in all of its events.
struct ChatAnswerHead {
  std::string id;
  std::string model;
  std::int64_t created_s = 0;
};

// Server-sent events, each closed by its blank line.
// Carries token_offset and token_count beside the usual members, so that a
// caller can check that no token is missing.
std::string ChatTokenEvent(const ChatAnswerHead& head,
                           const request::TokenChunk& tokens);
std::string ChatFinishEvent(const ChatAnswerHead& head,
                            const std::string& finish_reason);
std::string ChatUsageEvent(const ChatAnswerHead& head,
                           const request::Usage& usage);
std::string ChatDoneEvent();
// A refusal in mid-stream.
std::string ChatErrorEvent(const request::Refusal& refusal);

// The whole answer as one JSON object.
std::string ChatWholeBody(const ChatAnswerHead& head,
                          const request::Answer& answer);

// {"error":{...}} as docs/PROTOCOLS.md says.
std::string RefusalBody(const request::Refusal& refusal);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CHAT_BODY_H_
