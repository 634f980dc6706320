#include "version/details/json_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::version::details {
namespace {

constexpr std::size_t kDigestDigits = 64;

bool IsIdByte(char c) noexcept {
  constexpr std::string_view kMarks = "._-:/@+";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kMarks.find(c) != std::string_view::npos;
}

bool IsDigest(const std::string& text) noexcept {
  return text.size() == kDigestDigits && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::string RangeText(double low, double high) {
  return "must be a number from " + json(low).dump() + " to " +
         json(high).dump();
}

}  // namespace

std::string Canonical(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

bool Fail(CodecFault* fault,
          CodecError error,
          std::string where,
          std::string message) {
  *fault = {error, std::move(where), std::move(message)};
  return false;
}

bool ParseObject(std::string_view text,
                 std::size_t max_bytes,
                 json* value,
                 CodecFault* fault) {
  if (text.size() > max_bytes) {
    return Fail(fault, CodecError::kTooLarge, "",
                "must be at most " + std::to_string(max_bytes) +
                    " bytes, got " + std::to_string(text.size()));
  }
  auto parsed = base::ParseBoundedJson(text);
  if (!parsed) {
    return Fail(fault, CodecError::kNotJson, "",
                "must be valid JSON without excessive nesting");
  }
  *value = *std::move(parsed);
  if (!value->is_object()) {
    return Fail(fault, CodecError::kWrongType, "", "must be an object");
  }
  return true;
}

std::string AppendToPointer(const std::string& where, std::string_view step) {
  std::string path = where + "/";
  for (const char c : step) {
    if (c == '~') {
      path += "~0";
    } else if (c == '/') {
      path += "~1";
    } else {
      path += c;
    }
  }
  return path;
}

bool IsId(std::string_view text) noexcept {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::ranges::all_of(text, IsIdByte);
}

JsonReader::JsonReader(const json& object, std::string where, CodecFault* fault)
    : object_(object), where_(std::move(where)), fault_(fault) {
  if (!object_.is_object()) {
    ok_ = Fail(fault_, CodecError::kWrongType, where_, "must be an object");
  }
}

bool JsonReader::Reject(CodecError error,
                        std::string_view name,
                        std::string message) {
  ok_ = Fail(fault_, error, AppendToPointer(where_, name), std::move(message));
  return false;
}

const json* JsonReader::Find(const char* name, bool required) {
  if (!ok_) {
    return nullptr;
  }
  read_members_.emplace_back(name);
  const auto it = object_.find(name);
  if (it != object_.end()) {
    return &*it;
  }
  if (required) {
    Reject(CodecError::kMissing, name, "is required");
  }
  return nullptr;
}

void JsonReader::Id(const char* name, std::string* out) {
  const json* value = Find(name, true);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Reject(CodecError::kWrongType, name, "must be a string");
    return;
  }
  *out = value->get<std::string>();
  if (!IsId(*out)) {
    Reject(CodecError::kOutOfRange, name,
           "must be 1 to 128 letters, digits or ._-:/@+");
  }
}

void JsonReader::OptionalId(const char* name, std::string* out) {
  const json* value = Find(name, false);
  if (value == nullptr) {
    return;
  }
  if (value->is_string() && value->get_ref<const std::string&>().empty()) {
    out->clear();
    return;
  }
  Id(name, out);
}

void JsonReader::OptionalText(const char* name,
                              std::size_t max_bytes,
                              std::string* out) {
  const json* value = Find(name, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Reject(CodecError::kWrongType, name, "must be a string");
    return;
  }
  *out = value->get<std::string>();
  if (out->size() > max_bytes) {
    Reject(CodecError::kOutOfRange, name,
           "must be at most " + std::to_string(max_bytes) + " bytes");
  }
}

void JsonReader::OptionalFlag(const char* name, bool* out) {
  const json* value = Find(name, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    Reject(CodecError::kWrongType, name, "must be true or false");
    return;
  }
  *out = value->get<bool>();
}

void JsonReader::Number(const char* name,
                        double low,
                        double high,
                        double* out) {
  if (Find(name, true) != nullptr) {
    OptionalNumber(name, low, high, out);
  }
}

void JsonReader::OptionalNumber(const char* name,
                                double low,
                                double high,
                                double* out) {
  const json* value = Find(name, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    Reject(CodecError::kWrongType, name, RangeText(low, high));
    return;
  }
  *out = value->get<double>();
  if (!std::isfinite(*out) || *out < low || *out > high) {
    Reject(CodecError::kOutOfRange, name, RangeText(low, high));
  }
}

void JsonReader::Integer(const char* name,
                         std::int64_t low,
                         std::int64_t high,
                         std::int64_t* out) {
  if (Find(name, true) != nullptr) {
    OptionalInteger(name, low, high, out);
  }
}

void JsonReader::OptionalInteger(const char* name,
                                 std::int64_t low,
                                 std::int64_t high,
                                 std::int64_t* out) {
  const json* value = Find(name, false);
  if (value == nullptr) {
    return;
  }
  // Unsigned values above INT64_MAX would wrap around.
  const bool fits =
      value->is_number_integer() &&
      !(value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX);
  const std::string message = "must be an integer from " + std::to_string(low) +
                              " to " + std::to_string(high);
  if (!fits) {
    Reject(CodecError::kWrongType, name, message);
    return;
  }
  *out = value->get<std::int64_t>();
  if (*out < low || *out > high) {
    Reject(CodecError::kOutOfRange, name, message);
  }
}

void JsonReader::OptionalIds(const char* name,
                             std::size_t max_count,
                             std::vector<std::string>* out) {
  Each(name, json::value_t::array, max_count,
       [&](const std::string&, const json& it, const std::string& where) {
         if (!it.is_string() || !IsId(it.get_ref<const std::string&>())) {
           return Fail(fault_, CodecError::kOutOfRange, where,
                       "must be 1 to 128 letters, digits or ._-:/@+");
         }
         out->push_back(it.get<std::string>());
         return true;
       });
}

void JsonReader::OptionalDigests(const char* name,
                                 std::size_t max_count,
                                 std::vector<std::string>* out) {
  Each(name, json::value_t::array, max_count,
       [&](const std::string&, const json& it, const std::string& where) {
         if (!it.is_string() || !IsDigest(it.get_ref<const std::string&>())) {
           // Does not repeat the value, which may be a key entered by mistake.
           return Fail(fault_, CodecError::kOutOfRange, where,
                       "must be a SHA-256 digest: 64 lower-case hexadecimal "
                       "digits, not the key itself");
         }
         out->push_back(it.get<std::string>());
         return true;
       });
}

void JsonReader::Each(const char* name,
                      json::value_t type,
                      std::size_t max_count,
                      const ReadOne& read) {
  const json* value = Find(name, false);
  if (value == nullptr) {
    return;
  }
  if (value->type() != type) {
    Reject(CodecError::kWrongType, name,
           type == json::value_t::array ? "must be an array"
                                        : "must be an object");
    return;
  }
  if (value->size() > max_count) {
    Reject(CodecError::kTooLarge, name,
           "must have at most " + std::to_string(max_count) + " entries, got " +
               std::to_string(value->size()));
    return;
  }
  const std::string where = AppendToPointer(where_, name);
  const auto items = value->items();
  ok_ = std::all_of(items.begin(), items.end(), [&](const auto& it) {
    return read(it.key(), it.value(), AppendToPointer(where, it.key()));
  });
}

const json* JsonReader::Any(const char* name) {
  return Find(name, false);
}

bool JsonReader::Done() {
  if (!ok_) {
    return false;
  }
  const auto items = object_.items();
  const auto it =
      std::find_if(items.begin(), items.end(), [&](const auto& member) {
        return std::ranges::find(read_members_, member.key()) ==
               read_members_.end();
      });
  if (it == items.end()) {
    return true;
  }
  return Reject(CodecError::kUnknownMember, it.key(), "unknown member");
}

}  // namespace lynxglade::version::details
