#include "load/answer_check.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace lynxglade::bench {

namespace {

using nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";

bool HasText(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() &&
         !it->get_ref<const std::string&>().empty();
}

const json* FirstChoice(const json& chunk) {
  const auto it = chunk.find("choices");
  const bool any = it != chunk.end() && it->is_array() && !it->empty();
  return any ? &it->front() : nullptr;
}

std::int64_t CompletionTokens(const json& chunk) {
  const auto it = chunk.find("usage");
  if (it == chunk.end() || !it->is_object()) {
    return -1;
  }
  return it->value("completion_tokens", std::int64_t{-1});
}

}  // namespace

void StreamCheck::Feed(std::string_view bytes, base::Time now) {
  pending_ += bytes;
  std::size_t from = 0;
  for (std::size_t end = pending_.find(kEventEnd); end != std::string::npos;
       end = pending_.find(kEventEnd, from)) {
    const std::string_view event(pending_.data() + from, end - from);
    if (event.starts_with(kDataField)) {
      HandleEvent(event.substr(kDataField.size()), now);
    }
    from = end + kEventEnd.size();
  }
  pending_.erase(0, from);
}

bool StreamCheck::whole() const noexcept {
  return Missing().empty() && !broken_;
}

std::string_view StreamCheck::Missing() const noexcept {
  if (!done_) {
    return "no_end_marker";
  }
  if (!finished_) {
    return "no_finish_reason";
  }
  if (usage_tokens_ < 0) {
    return "no_usage";
  }
  return tokens_ == usage_tokens_ || !counted_ ? "" : "token_count";
}

void StreamCheck::HandleEvent(std::string_view data, base::Time now) {
  if (done_) {
    broken_ = true;
    return;
  }
  if (data == kEndMarker) {
    done_ = true;
    return;
  }
  const json chunk = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (!chunk.is_object()) {
    broken_ = true;
    return;
  }
  if (chunk.contains("error")) {
    const ErrorBody error = ReadErrorBody(std::string(data));
    error_code_ = error.code;
    error_outcome_ = error.outcome;
    return;
  }
  usage_tokens_ = std::max(usage_tokens_, CompletionTokens(chunk));
  const json* choice = FirstChoice(chunk);
  if (choice == nullptr) {
    return;
  }
  finished_ = finished_ || HasText(*choice, "finish_reason");
  const auto delta = choice->find("delta");
  if (delta != choice->end() && HasText(*delta, "content")) {
    counted_ = counted_ && chunk.contains("token_count");
    CountTokens(chunk.value("token_offset", tokens_),
                chunk.value("token_count", std::int64_t{1}), now);
  }
}

void StreamCheck::CountTokens(std::int64_t offset,
                              std::int64_t count,
                              base::Time now) {
  broken_ = broken_ || offset != tokens_ || count < 1;
  if (tokens_ == 0) {
    first_token_ = now;
  } else if (count > 0) {
    const double gap = std::chrono::duration<double>(now - last_token_).count();
    gaps_.insert(gaps_.end(), static_cast<std::size_t>(count),
                 gap / static_cast<double>(count));
  }
  last_token_ = now;
  tokens_ += count;
}

bool IsWholeAnswer(const std::string& body) {
  const json answer = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!answer.is_object() || CompletionTokens(answer) < 0) {
    return false;
  }
  const json* choice = FirstChoice(answer);
  return choice != nullptr && HasText(*choice, "finish_reason") &&
         choice->contains("message") &&
         HasText(choice->at("message"), "content");
}

ErrorBody ReadErrorBody(const std::string& body) {
  ErrorBody read;
  const json root = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) {
    return read;
  }
  const auto it = root.find("error");
  if (it == root.end() || !it->is_object()) {
    return read;
  }
  const auto text = [&](const char* key) {
    return HasText(*it, key) ? it->at(key).get<std::string>() : std::string();
  };
  read.code = text("code");
  read.outcome = text("outcome");
  const auto wait = it->find("retry_after_ms");
  if (wait != it->end() && wait->is_number()) {
    read.retry_after_ms = wait->get<std::int64_t>();
  }
  return read;
}

}  // namespace lynxglade::bench
