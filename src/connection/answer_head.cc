#include "connection/answer_head.h"

#include <algorithm>
#include <cctype>
#include <limits>

#include "base/whole_number.h"

namespace lynxglade::connection {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHttp10 = "HTTP/1.0 ";
constexpr std::string_view kHttp11 = "HTTP/1.1 ";
constexpr std::size_t kStatusDigits = 3;
constexpr int kContinue = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

bool IsTokenChar(char c) noexcept {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || kOthers.find(c) != std::string_view::npos;
}

bool IsTextChar(char c) noexcept {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && c != '\x7f');
}

bool IsBlank(char c) noexcept {
  return c == ' ' || c == '\t';
}

std::string_view Trim(std::string_view text) noexcept {
  while (!text.empty() && IsBlank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) noexcept {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

// Digits alone.
std::optional<std::int64_t> ParseNumber(std::string_view text) noexcept {
  return text.starts_with('-')
             ? std::nullopt
             : base::ParseWhole(text, 0,
                                std::numeric_limits<std::int64_t>::max());
}

}  // namespace

bool AnswerHead::Take(std::string_view line) {
  if (!line.ends_with(kLineEnd)) {
    return false;
  }
  line.remove_suffix(kLineEnd.size());
  if (!has_status_) {
    return TakeStatus(line);
  }
  return line.empty() ? TakeEnd() : TakeField(line);
}

bool AnswerHead::TakeStatus(std::string_view line) {
  is_http10_ = line.starts_with(kHttp10);
  if (!is_http10_ && !line.starts_with(kHttp11)) {
    return false;
  }
  line.remove_prefix(kHttp11.size());
  const auto status = ParseNumber(line.substr(0, kStatusDigits));
  line.remove_prefix(std::min(line.size(), kStatusDigits));
  has_status_ = true;
  // Other interim answers are ones that the library takes for final.
  is_interim_ = status == kContinue;
  return status &&
         (is_interim_ ||
          (*status >= kFirstFinalStatus && *status <= kLastStatus)) &&
         (line.empty() || line.front() == ' ') &&
         std::ranges::all_of(line, IsTextChar);
}

bool AnswerHead::TakeField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!std::ranges::all_of(name, IsTokenChar) ||
      !std::ranges::all_of(value, IsTextChar)) {
    return false;
  }
  if (EqualsIgnoringCase(name, "transfer-encoding")) {
    const bool is_first = !is_chunked_;
    is_chunked_ = true;
    return is_first && !is_http10_ && EqualsIgnoringCase(value, "chunked");
  }
  if (EqualsIgnoringCase(name, "content-length")) {
    const auto n = ParseNumber(value);
    const bool differs = length_ && length_ != n;
    length_ = n;
    return n && !differs;
  }
  return true;
}

bool AnswerHead::TakeEnd() {
  const bool is_ambiguous = is_chunked_ && length_;
  if (is_interim_) {
    *this = AnswerHead();
    return !is_ambiguous;
  }
  complete_ = true;
  return !is_ambiguous;
}

}  // namespace lynxglade::connection
