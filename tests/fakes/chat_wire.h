// Parsing and encoding of the chat-completions interface of the fake engines.
#ifndef LYNXGLADE_FAKES_CHAT_WIRE_H_
#define LYNXGLADE_FAKES_CHAT_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "base/units.h"
#include "fakes/token_text.h"

namespace lynxglade::fakes {

// A parsed request body and the headers that the journal records.
struct ChatRequest {
  std::string request_id;
  std::string attempt_id;
  std::string idempotency_key;
  std::string model;
  std::string prompt;
  std::string prefix_hint;
  PromptHash prompt_hash;
  base::Tokens prompt_tokens{1};
  int priority = 5;
  std::int64_t max_tokens = 0;
  std::int64_t resume_from = 0;
  bool stream = false;
  // From kv_transfer_params.
  bool exports_kv = false;
  bool imports_kv = false;
  std::string remote_engine;
  std::string remote_block;
};

// The concatenated text of all messages; nullopt when `messages` is not a list
// of messages with text.
std::optional<std::string> PromptText(const nlohmann::json& messages);

// Parses a body. On failure returns nullopt and sets `error` to the reason.
std::optional<ChatRequest> ParseChatBody(const std::string& body,
                                         std::string* error);

// Contents of the last chunk.
struct ChatUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t cached_tokens = 0;
  // Null when no KV cache was exported.
  nlohmann::json kv_transfer_params;
};

// Encodes the events of one stream.
class ChatWriter {
 public:
  ChatWriter(std::string attempt_id, std::string model);

  // The tokens [first, last) as one event.
  std::string Content(PromptHash prompt,
                      std::int64_t first,
                      std::int64_t last) const;
  // The event with finish reason and usage, then the end marker.
  std::string End(const ChatUsage& usage) const;
  // The complete response as one object, for requests without streaming.
  nlohmann::json ResponseJson(const std::string& text,
                              const ChatUsage& usage) const;

 private:
  nlohmann::json Base(const char* object) const;

  std::string id_;
  std::string model_;
  // The parts of a content event before and after its text.
  std::string before_content_;
  std::string after_content_;
};

// {"error":{"code","message","outcome":"not_run"}}
nlohmann::json NotRunError(const std::string& code, const std::string& message);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_CHAT_WIRE_H_
