#include "connection/target_client_stream.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::connection {

namespace {

using nlohmann::json;

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEndMarker = "[DONE]";

// Exceeds any real answer; the sum of two cannot overflow.
constexpr std::int64_t kMaxTokens = 1'000'000'000;

// The member if it is a valid token count, else `fallback`.
std::int64_t TokensOr(const json& object,
                      const char* name,
                      std::int64_t fallback) {
  return base::WholeMember(object, name, 0, kMaxTokens).value_or(fallback);
}

// The member if it is a string, else empty.
std::string_view TextOr(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string()
             ? std::string_view(it->get_ref<const std::string&>())
             : std::string_view();
}

const json* Find(const json& object, const char* name, json::value_t type) {
  const auto it = object.find(name);
  return it != object.end() && it->type() == type ? &*it : nullptr;
}

}  // namespace

EngineStream::EngineStream(base::AttemptId attempt,
                           base::Tokens resume_from,
                           const request::TokenSink& sink)
    : expected_id_("chatcmpl-" + attempt.str()),
      resume_from_(resume_from),
      sink_(sink) {}

bool EngineStream::Feed(std::string_view bytes) {
  while (state_ == State::kOpen && !bytes.empty()) {
    const std::size_t n = bytes.find('\n');
    if (n == std::string_view::npos) {
      partial_ += bytes;
      bytes = {};
    } else if (partial_.empty()) {
      HandleLine(bytes.substr(0, n));
      bytes.remove_prefix(n + 1);
    } else {
      partial_ += bytes.substr(0, n);
      HandleLine(std::exchange(partial_, {}));
      bytes.remove_prefix(n + 1);
    }
    if (partial_.size() + data_.size() > kMaxEventBytes) {
      Fail(State::kBad, "event too large");
    }
  }
  return state_ == State::kOpen || state_ == State::kEnded;
}

bool EngineStream::IsComplete() const noexcept {
  return state_ == State::kEnded && !finish_reason_.empty() && usage_ &&
         resume_from_ + tokens_ == usage_->completion;
}

void EngineStream::HandleLine(std::string_view line) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (!data_.empty()) {
      HandleEvent(std::exchange(data_, {}));
    }
    return;
  }
  // Skips comments and unused fields.
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (!data_.empty()) {
    data_ += '\n';
  }
  data_ += line;
}

void EngineStream::HandleEvent(std::string_view data) {
  if (data == kEndMarker) {
    state_ = State::kEnded;
    return;
  }
  const std::optional<json> event = base::ParseBoundedJson(data);
  if (!event || !event->is_object()) {
    Fail(State::kBad, "event is not a JSON object");
    return;
  }
  if (const json* error = Find(*event, "error", json::value_t::object)) {
    // The error text may quote the prompt, so only the code is kept.
    const auto code = request::ParseTargetRefusal(TextOr(*error, "code"));
    Fail(State::kBad,
         "engine reported an error: " + std::string(request::ToString(code)));
    return;
  }
  if (TextOr(*event, "id") != expected_id_) {
    Fail(State::kCrossed, "event has the id of another attempt");
    return;
  }
  started_ = true;
  HandleChunk(*event);
}

void EngineStream::HandleChunk(const json& event) {
  const json* choices = Find(event, "choices", json::value_t::array);
  if (choices && !choices->empty() && choices->front().is_object()) {
    HandleChoice(event, choices->front());
  }
  if (const json* usage = Find(event, "usage", json::value_t::object)) {
    HandleUsage(*usage);
  }
  if (const json* kv =
          Find(event, "kv_transfer_params", json::value_t::object)) {
    kv_transfer_params_ =
        kv->dump(-1, ' ', false, json::error_handler_t::replace);
  }
}

void EngineStream::HandleChoice(const json& event, const json& choice) {
  const std::string_view reason = TextOr(choice, "finish_reason");
  if (!reason.empty()) {
    finish_reason_ = reason;
  }
  const json* delta = Find(choice, "delta", json::value_t::object);
  const std::string_view text =
      delta ? TextOr(*delta, "content") : std::string_view();
  const std::int64_t count = TokensOr(event, "token_count", 0);
  if (text.empty() && count == 0) {
    return;
  }
  const std::int64_t offset = TokensOr(event, "token_offset", -1);
  if (offset < 0 || count <= 0) {
    Fail(State::kBad, "chunk without valid token offset and count");
    return;
  }
  if (tokens_.value() + count > kMaxTokens) {
    Fail(State::kBad, "token count of the answer out of range");
    return;
  }
  const request::TokenChunk chunk{.text = text,
                                  .offset = base::Tokens(offset),
                                  .count = base::Tokens(count)};
  if (!sink_.on_token(chunk)) {
    state_ = State::kSinkClosed;
    return;
  }
  tokens_ += chunk.count;
}

void EngineStream::HandleUsage(const json& usage) {
  request::Usage seen;
  seen.prompt = base::Tokens(TokensOr(usage, "prompt_tokens", 0));
  seen.completion = base::Tokens(TokensOr(usage, "completion_tokens", -1));
  if (const json* details =
          Find(usage, "prompt_tokens_details", json::value_t::object)) {
    seen.cached = base::Tokens(TokensOr(*details, "cached_tokens", 0));
  }
  usage_ = seen;
}

void EngineStream::Fail(State state, std::string message) {
  state_ = state;
  message_ = std::move(message);
}

}  // namespace lynxglade::connection
