#include "base/text_bytes.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace lynxglade::base {

namespace {

constexpr std::string_view kEscape = "\xef\xb7\x90";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::size_t kDigits = 2;

std::uint8_t ByteAt(std::string_view text, std::size_t i) {
  return static_cast<std::uint8_t>(text[i]);
}

// Lead bytes with the bounds of the byte after them (RFC 3629): no overlong
// form, no surrogate, nothing beyond U+10FFFF.
struct LeadBytes {
  std::uint8_t first;
  std::uint8_t last;
  std::size_t size;
  std::uint8_t second_from;
  std::uint8_t second_to;
};
constexpr std::array kLeadBytes{
    LeadBytes{0x00, 0x7F, 1, 0, 0},       LeadBytes{0xC2, 0xDF, 2, 0x80, 0xBF},
    LeadBytes{0xE0, 0xE0, 3, 0xA0, 0xBF}, LeadBytes{0xE1, 0xEC, 3, 0x80, 0xBF},
    LeadBytes{0xED, 0xED, 3, 0x80, 0x9F}, LeadBytes{0xEE, 0xEF, 3, 0x80, 0xBF},
    LeadBytes{0xF0, 0xF0, 4, 0x90, 0xBF}, LeadBytes{0xF1, 0xF3, 4, 0x80, 0xBF},
    LeadBytes{0xF4, 0xF4, 4, 0x80, 0x8F}};

// Bytes of the character that begins the text; 0 if none does.
std::size_t CharacterSize(std::string_view text) {
  constexpr std::uint8_t kContinuationMask = 0xC0;
  constexpr std::uint8_t kContinuation = 0x80;
  const std::uint8_t lead = ByteAt(text, 0);
  const auto* const row =
      std::ranges::find_if(kLeadBytes, [lead](const LeadBytes& it) {
        return lead >= it.first && lead <= it.last;
      });
  if (row == kLeadBytes.end() || row->size > text.size()) {
    return 0;
  }
  if (row->size > 1 && (ByteAt(text, 1) < row->second_from ||
                        ByteAt(text, 1) > row->second_to)) {
    return 0;
  }
  for (std::size_t i = 2; i < row->size; ++i) {
    if ((ByteAt(text, i) & kContinuationMask) != kContinuation) {
      return 0;
    }
  }
  return row->size;
}

void AppendHex(char c, std::string* text) {
  const auto byte = static_cast<std::uint8_t>(c);
  *text += kHexDigits[byte >> 4U];
  *text += kHexDigits[byte & 0x0FU];
}

}  // namespace

std::string EscapeInvalidUtf8(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  while (!text.empty()) {
    const std::size_t n = CharacterSize(text);
    if (n == 0) {
      escaped += kEscape;
      AppendHex(text.front(), &escaped);
    } else {
      escaped += text.substr(0, n);
    }
    text.remove_prefix(std::max<std::size_t>(n, 1));
  }
  return escaped;
}

std::string UnescapeInvalidUtf8(std::string_view text) {
  std::string bytes;
  while (!text.empty()) {
    const std::size_t at = std::min(text.find(kEscape), text.size());
    bytes += text.substr(0, at);
    text.remove_prefix(at);
    if (text.size() < kEscape.size() + kDigits) {
      break;
    }
    const std::size_t high = kHexDigits.find(text[kEscape.size()]);
    const std::size_t low = kHexDigits.find(text[kEscape.size() + 1]);
    if (high != std::string_view::npos && low != std::string_view::npos) {
      bytes += static_cast<char>(high * kHexDigits.size() + low);
      text.remove_prefix(kEscape.size() + kDigits);
    } else {
      bytes += kEscape;
      text.remove_prefix(kEscape.size());
    }
  }
  return bytes.append(text);
}

std::string PercentEncode(std::string_view bytes) {
  constexpr std::string_view kUnchanged = "-._~/:@!$'()*,;";
  std::string encoded;
  for (const char c : bytes) {
    const bool is_alphanumeric = (c >= '0' && c <= '9') ||
                                 (c >= 'A' && c <= 'Z') ||
                                 (c >= 'a' && c <= 'z');
    if (is_alphanumeric || kUnchanged.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      encoded += '%';
      AppendHex(c, &encoded);
    }
  }
  return encoded;
}

}  // namespace lynxglade::base
