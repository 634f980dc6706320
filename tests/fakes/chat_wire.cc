#include "fakes/chat_wire.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace lynxglade::fakes {

namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 64;
constexpr std::int64_t kMaxTokensLimit = 1'000'000;
constexpr int kDefaultPriority = 5;

// Members of the wrong type count as absent.
std::string TextOf(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t NumberOf(const json& object,
                      const char* name,
                      std::int64_t absent) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                       : absent;
}

bool FlagOf(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

// Content is either a string or a list of parts.
std::string ContentText(const json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  if (content.is_array()) {
    std::ranges::for_each(
        content, [&](const json& part) { text += TextOf(part, "text"); });
  }
  return text;
}

void ReadKvParams(const json& body, ChatRequest* chat) {
  const auto it = body.find("kv_transfer_params");
  if (it == body.end() || !it->is_object()) {
    return;
  }
  chat->exports_kv = FlagOf(*it, "do_remote_decode");
  chat->imports_kv = FlagOf(*it, "do_remote_prefill");
  chat->remote_engine = TextOf(*it, "remote_engine");
  chat->remote_block = TextOf(*it, "remote_block_id");
}

std::string Event(const json& chunk) {
  return "data: " + chunk.dump(-1, ' ', false, json::error_handler_t::replace) +
         "\n\n";
}

json UsageJson(const ChatUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

}  // namespace

std::optional<std::string> PromptText(const json& messages) {
  if (!messages.is_array() || messages.empty()) {
    return std::nullopt;
  }
  std::string prompt;
  for (const json& message : messages) {
    if (!message.is_object() || !message.contains("content")) {
      return std::nullopt;
    }
    prompt += ContentText(message["content"]);
  }
  return prompt;
}

std::optional<ChatRequest> ParseChatBody(const std::string& body,
                                         std::string* error) {
  const json fields = json::parse(body, nullptr, false);
  if (!fields.is_object()) {
    *error = "the body is not a JSON object";
    return std::nullopt;
  }
  auto prompt = PromptText(fields.value("messages", json()));
  if (!prompt) {
    *error = "messages must be a list of objects with content";
    return std::nullopt;
  }
  ChatRequest chat;
  chat.prompt = std::move(*prompt);
  chat.prompt_hash = HashPrompt(chat.prompt);
  chat.prompt_tokens = CountPromptTokens(chat.prompt);
  chat.model = TextOf(fields, "model");
  chat.prefix_hint = TextOf(fields, "prefix_hint");
  chat.stream = FlagOf(fields, "stream");
  chat.priority =
      static_cast<int>(NumberOf(fields, "priority", kDefaultPriority));
  const std::int64_t absent =
      NumberOf(fields, "max_completion_tokens", kDefaultMaxTokens);
  chat.max_tokens = NumberOf(fields, "max_tokens", absent);
  chat.resume_from = NumberOf(fields, "resume_from", 0);
  if (chat.max_tokens < 1 || chat.max_tokens > kMaxTokensLimit) {
    *error = "max_tokens must be from 1 to 1000000";
    return std::nullopt;
  }
  if (chat.resume_from < 0 || chat.resume_from > chat.max_tokens) {
    *error = "resume_from must be from 0 to max_tokens";
    return std::nullopt;
  }
  ReadKvParams(fields, &chat);
  return chat;
}

// Encodes the parts that all content events of one response share only once, as
// a fake engine sends tens of thousands of events per second.
ChatWriter::ChatWriter(std::string attempt_id, std::string model)
    : id_("chatcmpl-" + std::move(attempt_id)), model_(std::move(model)) {
  json chunk = Base("chat.completion.chunk");
  chunk["choices"] =
      json::array({{{"index", 0},
                    {"delta", {{"role", "assistant"}, {"content", nullptr}}},
                    {"finish_reason", nullptr}}});
  const std::string event = Event(chunk);
  constexpr std::string_view kHole = "\"content\":null";
  const std::size_t hole = event.find(kHole);
  before_content_ = event.substr(0, hole) + "\"content\":\"";
  const std::size_t rest = hole + kHole.size();
  after_content_ = '"' + event.substr(rest, event.rfind('}') - rest);
}

std::string ChatWriter::Content(PromptHash prompt,
                                std::int64_t first,
                                std::int64_t last) const {
  std::string event = before_content_;
  // Tokens consist of digits, colons and spaces, which need no JSON escapes.
  event += AnswerText(prompt, first, last);
  event += after_content_;
  event += ",\"token_offset\":";
  event += std::to_string(first);
  event += ",\"token_count\":";
  event += std::to_string(last - first);
  event += "}\n\n";
  return event;
}

std::string ChatWriter::End(const ChatUsage& usage) const {
  json chunk = Base("chat.completion.chunk");
  chunk["choices"] = json::array(
      {{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
  chunk["token_offset"] = usage.completion_tokens;
  chunk["token_count"] = 0;
  chunk["usage"] = UsageJson(usage);
  if (!usage.kv_transfer_params.is_null()) {
    chunk["kv_transfer_params"] = usage.kv_transfer_params;
  }
  return Event(chunk) + "data: [DONE]\n\n";
}

json ChatWriter::ResponseJson(const std::string& text,
                              const ChatUsage& usage) const {
  json answer = Base("chat.completion");
  answer["choices"] =
      json::array({{{"index", 0},
                    {"message", {{"role", "assistant"}, {"content", text}}},
                    {"finish_reason", "stop"}}});
  answer["usage"] = UsageJson(usage);
  if (!usage.kv_transfer_params.is_null()) {
    answer["kv_transfer_params"] = usage.kv_transfer_params;
  }
  return answer;
}

json ChatWriter::Base(const char* object) const {
  constexpr std::int64_t kMillisPerSecond = 1000;
  return {{"id", id_},
          {"object", object},
          {"created", base::WallMillis() / kMillisPerSecond},
          {"model", model_}};
}

json NotRunError(const std::string& code, const std::string& message) {
  return {{"error",
           {{"code", code},
            {"message", message},
            {"type", "refused"},
            {"outcome", "not_run"}}}};
}

}  // namespace lynxglade::fakes
