#include "connection/chat_body.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"
#include "base/time.h"

namespace lynxglade::connection {

namespace {

using nlohmann::json;

// Estimate used instead of a tokenizer.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kDefaultMaxOutputTokens = 512;
constexpr std::int64_t kMaxOutputTokens = 131'072;
// Length of the prompt prefix that is hashed to route prompts with a common
// prefix to the same engines.
constexpr std::size_t kPrefixBytes = 1024;
constexpr std::size_t kMaxModelNameBytes = 128;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The text of one message: a string, or the "text" parts of an array.
std::optional<std::string> MessageText(const json& message) {
  if (!message.is_object() || !message.contains("role") ||
      !message["role"].is_string()) {
    return std::nullopt;
  }
  const auto content = message.find("content");
  if (content == message.end() || content->is_null()) {
    return std::string();
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    return std::nullopt;
  }
  std::string text;
  for (const json& part : *content) {
    if (!part.is_object()) {
      return std::nullopt;
    }
    if (const auto it = part.find("text");
        it != part.end() && it->is_string()) {
      text += it->get<std::string>();
    }
  }
  return text;
}

// The text of all messages, each preceded by its role.
std::optional<std::string> PromptText(const json& body,
                                      std::string* last_reason) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    *last_reason = "'messages' must be a non-empty array";
    return std::nullopt;
  }
  std::string prompt;
  for (const json& message : *messages) {
    const auto text = MessageText(message);
    if (!text) {
      *last_reason =
          "each of 'messages' needs a 'role' string and a 'content' string or "
          "array of parts";
      return std::nullopt;
    }
    prompt += message["role"].get<std::string>() + "\n" + *text + "\n";
  }
  return prompt;
}

bool ReadBool(const json& body, const char* name, bool* value) {
  const auto it = body.find(name);
  if (it == body.end() || it->is_null()) {
    return true;
  }
  if (!it->is_boolean()) {
    return false;
  }
  *value = it->get<bool>();
  return true;
}

std::optional<std::int64_t> ReadMaxTokens(const json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto it = body.find(name);
    if (it == body.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_integer()) {
      return std::nullopt;
    }
    const auto n = it->get<std::int64_t>();
    if (n < 1 || n > kMaxOutputTokens) {
      return std::nullopt;
    }
    return n;
  }
  return kDefaultMaxOutputTokens;
}

bool ReadIncludeUsage(const json& body) {
  const auto it = body.find("stream_options");
  return it != body.end() && it->is_object() &&
         it->value("include_usage", json(false)) == json(true);
}

// Whether the call requests more than one answer, which is not supported.
bool AsksForSeveralAnswers(const json& body) {
  const auto it = body.find("n");
  return it != body.end() && !it->is_null() && *it != json(1);
}

std::optional<json> ParseObject(const std::string& body,
                                std::string* last_reason) {
  auto parsed = base::ParseBoundedJson(body);
  if (!parsed || !parsed->is_object()) {
    *last_reason = "the body is not a JSON object, or nests too deeply";
    return std::nullopt;
  }
  return parsed;
}

// Reads the scalar fields into `call`. Returns false and sets `last_reason` if
// one is invalid.
bool ReadFields(const json& body, ChatCall& call, std::string* last_reason) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty() ||
      model->get_ref<const std::string&>().size() > kMaxModelNameBytes) {
    *last_reason = "'model' must be a string of 1 to 128 bytes";
    return false;
  }
  call.model = base::ModelName(model->get<std::string>());
  if (!ReadBool(body, "stream", &call.stream)) {
    *last_reason = "'stream' must be true or false";
    return false;
  }
  const auto max_tokens = ReadMaxTokens(body);
  if (!max_tokens) {
    *last_reason = "'max_tokens' must be a whole number from 1 to " +
                   std::to_string(kMaxOutputTokens);
    return false;
  }
  call.max_output_tokens = base::Tokens(*max_tokens);
  if (AsksForSeveralAnswers(body)) {
    *last_reason = "'n' must be 1";
    return false;
  }
  call.include_usage = ReadIncludeUsage(body);
  return true;
}

std::string Event(const json& value) {
  return "data: " + Dump(value) + "\n\n";
}

json Chunk(const ChatAnswerHead& head) {
  return {{"id", head.id},
          {"object", "chat.completion.chunk"},
          {"created", head.created_s},
          {"model", head.model}};
}

json UsageObject(const request::Usage& usage) {
  return {{"prompt_tokens", usage.prompt.value()},
          {"completion_tokens", usage.completion.value()},
          {"total_tokens", (usage.prompt + usage.completion).value()},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached.value()}}}};
}

json RefusalObject(const request::Refusal& refusal) {
  const int status = request::HttpStatus(refusal.reason);
  const std::string message =
      refusal.target_message.empty()
          ? refusal.message
          : refusal.message + ": " + refusal.target_message;
  json error = {
      {"message", message},
      {"type", status < 500 ? "invalid_request_error" : "service_unavailable"},
      {"code", request::ToString(refusal.reason)},
      {"outcome", base::ToString(refusal.outcome)}};
  if (refusal.retry_after) {
    error["retry_after_ms"] = base::ToMillis(*refusal.retry_after);
  }
  return {{"error", std::move(error)}};
}

}  // namespace

std::optional<ChatCall> ParseChatCall(const std::string& body,
                                      std::string* last_reason) {
  auto parsed = ParseObject(body, last_reason);
  if (!parsed) {
    return std::nullopt;
  }
  ChatCall call;
  if (!ReadFields(*parsed, call, last_reason)) {
    return std::nullopt;
  }
  const auto prompt = PromptText(*parsed, last_reason);
  if (!prompt) {
    return std::nullopt;
  }
  call.prompt_tokens = base::Tokens(static_cast<std::int64_t>(
      (prompt->size() + kBytesPerToken - 1) / kBytesPerToken));
  const std::string_view text = *prompt;
  call.prefix_hash =
      base::HashPair(call.model.str(), text.substr(0, kPrefixBytes));
  // These fields do not change what the engine runs, so they are part of
  // neither engine_body nor the hash.
  parsed->erase("stream");
  parsed->erase("stream_options");
  parsed->erase("user");
  parsed->erase("max_completion_tokens");
  (*parsed)["max_tokens"] = call.max_output_tokens.value();
  call.engine_body = Dump(*parsed);
  call.content_hash = base::Hash64(call.engine_body);
  return call;
}

std::string ChatTokenEvent(const ChatAnswerHead& head,
                           const request::TokenChunk& tokens) {
  json chunk = Chunk(head);
  chunk["choices"] = json::array({{{"index", 0},
                                   {"delta", {{"content", tokens.text}}},
                                   {"finish_reason", nullptr}}});
  chunk["token_offset"] = tokens.offset.value();
  chunk["token_count"] = tokens.count.value();
  return Event(chunk);
}

std::string ChatFinishEvent(const ChatAnswerHead& head,
                            const std::string& finish_reason) {
  json chunk = Chunk(head);
  chunk["choices"] = json::array({{{"index", 0},
                                   {"delta", json::object()},
                                   {"finish_reason", finish_reason}}});
  return Event(chunk);
}

std::string ChatUsageEvent(const ChatAnswerHead& head,
                           const request::Usage& usage) {
  json chunk = Chunk(head);
  chunk["choices"] = json::array();
  chunk["usage"] = UsageObject(usage);
  return Event(chunk);
}

std::string ChatDoneEvent() {
  return "data: [DONE]\n\n";
}

std::string ChatErrorEvent(const request::Refusal& refusal) {
  return Event(RefusalObject(refusal));
}

std::string ChatWholeBody(const ChatAnswerHead& head,
                          const request::Answer& answer) {
  const json body = {
      {"id", head.id},
      {"object", "chat.completion"},
      {"created", head.created_s},
      {"model", head.model},
      {"choices",
       json::array(
           {{{"index", 0},
             {"message", {{"role", "assistant"}, {"content", answer.text}}},
             {"finish_reason", answer.finish_reason}}})},
      {"usage", UsageObject(answer.usage)}};
  return Dump(body);
}

std::string RefusalBody(const request::Refusal& refusal) {
  return Dump(RefusalObject(refusal));
}

}  // namespace lynxglade::connection
