#include "connection/event/header_fields.h"

#include <algorithm>
#include <numeric>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace lynxglade::connection::event {

namespace {

namespace http = boost::beast::http;
using FieldName = HeaderFields::FieldName;
using StringView = HeaderFields::StringView;
using boost::beast::iequals;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kSeparatorBytes = 2;
constexpr std::size_t kLineEndBytes = 2;

StringView Trim(StringView text) {
  const auto is_space = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && is_space(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_space(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

// Matches fields of one name.
class IsNamed {
 public:
  explicit IsNamed(FieldName name)
      : name_(name), name_string_(http::to_string(name)) {}
  explicit IsNamed(StringView name)
      : name_(http::string_to_field(name)), name_string_(name) {}

  bool operator()(const HeaderFields::Field& it) const {
    return it.name() == name_ && (name_ != FieldName::unknown ||
                                  iequals(it.name_string(), name_string_));
  }

 private:
  FieldName name_;
  StringView name_string_;
};

template <typename Fields>
auto RangeOf(const Fields& fields, const IsNamed& is_named) {
  const auto first = std::find_if(fields.begin(), fields.end(), is_named);
  return std::pair(first, std::find_if_not(first, fields.end(), is_named));
}

void AppendToken(StringView token, std::string* list) {
  if (!list->empty()) {
    *list += ", ";
  }
  list->append(token.data(), token.size());
}

std::string VersionText(unsigned version) {
  return "HTTP/" + std::to_string(version / 10) + '.' +
         std::to_string(version % 10);
}

}  // namespace

HeaderFields::Field::Field(FieldName name,
                           StringView name_string,
                           StringView value)
    : name_(name), name_size_(name_string.size()) {
  const StringView trimmed = Trim(value);
  line_.reserve(name_size_ + kSeparatorBytes + trimmed.size() + kLineEndBytes);
  line_.append(name_string.data(), name_string.size());
  line_ += ": ";
  line_.append(trimmed.data(), trimmed.size());
  line_ += "\r\n";
}

StringView HeaderFields::Field::value() const noexcept {
  const std::size_t begin = name_size_ + kSeparatorBytes;
  return {line_.data() + begin, line_.size() - begin - kLineEndBytes};
}

StringView HeaderFields::operator[](FieldName name) const {
  const auto it = find(name);
  return it == end() ? StringView() : it->value();
}

StringView HeaderFields::operator[](StringView name) const {
  const auto it = find(name);
  return it == end() ? StringView() : it->value();
}

HeaderFields::const_iterator HeaderFields::find(FieldName name) const {
  return std::ranges::find_if(fields_, IsNamed(name));
}

HeaderFields::const_iterator HeaderFields::find(StringView name) const {
  return std::ranges::find_if(fields_, IsNamed(name));
}

std::size_t HeaderFields::count(FieldName name) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(fields_, IsNamed(name)));
}

std::size_t HeaderFields::count(StringView name) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(fields_, IsNamed(name)));
}

std::pair<HeaderFields::const_iterator, HeaderFields::const_iterator>
HeaderFields::equal_range(FieldName name) const {
  return RangeOf(fields_, IsNamed(name));
}

std::pair<HeaderFields::const_iterator, HeaderFields::const_iterator>
HeaderFields::equal_range(StringView name) const {
  return RangeOf(fields_, IsNamed(name));
}

void HeaderFields::insert(StringView name, StringView value) {
  insert(boost::beast::http::string_to_field(name), name, value);
}

void HeaderFields::insert(FieldName name,
                          StringView name_string,
                          StringView value) {
  const IsNamed is_named =
      name == FieldName::unknown ? IsNamed(name_string) : IsNamed(name);
  const auto [first, last] = RangeOf(fields_, is_named);
  fields_.emplace(last, name, name_string, value);
}

void HeaderFields::set(FieldName name, StringView value) {
  Field field(name, http::to_string(name), value);
  erase(name);
  fields_.push_back(std::move(field));
}

// The value may be part of a field that is replaced.
void HeaderFields::set(StringView name, StringView value) {
  Field field(http::string_to_field(name), name, value);
  erase(name);
  fields_.push_back(std::move(field));
}

std::size_t HeaderFields::erase(FieldName name) {
  return std::erase_if(fields_, IsNamed(name));
}

std::size_t HeaderFields::erase(StringView name) {
  return std::erase_if(fields_, IsNamed(name));
}

bool HeaderFields::get_chunked_impl() const {
  const http::token_list codings{(*this)[FieldName::transfer_encoding]};
  StringView last;
  for (const StringView it : codings) {
    last = it;
  }
  return iequals(last, "chunked");
}

bool HeaderFields::get_keep_alive_impl(unsigned version) const {
  http::token_list options{(*this)[FieldName::connection]};
  return version < kHttp11 ? options.exists("keep-alive")
                           : !options.exists("close");
}

bool HeaderFields::has_content_length_impl() const {
  return count(FieldName::content_length) > 0;
}

void HeaderFields::set_chunked_impl(bool chunked) {
  if (chunked == get_chunked_impl()) {
    return;
  }
  std::string codings;
  for (const StringView it :
       http::token_list((*this)[FieldName::transfer_encoding])) {
    if (!iequals(it, "chunked")) {
      AppendToken(it, &codings);
    }
  }
  if (chunked) {
    AppendToken("chunked", &codings);
  }
  if (codings.empty()) {
    erase(FieldName::transfer_encoding);
  } else {
    set(FieldName::transfer_encoding, codings);
  }
}

void HeaderFields::set_content_length_impl(
    const boost::optional<std::uint64_t>& length) {
  if (length) {
    set(FieldName::content_length, std::to_string(*length));
  } else {
    erase(FieldName::content_length);
  }
}

void HeaderFields::set_keep_alive_impl(unsigned version, bool keep_alive) {
  std::string options;
  for (const StringView it : http::token_list((*this)[FieldName::connection])) {
    if (!iequals(it, "close") && !iequals(it, "keep-alive")) {
      AppendToken(it, &options);
    }
  }
  if (version < kHttp11 && keep_alive) {
    AppendToken("keep-alive", &options);
  } else if (version >= kHttp11 && !keep_alive) {
    AppendToken("close", &options);
  }
  if (options.empty()) {
    erase(FieldName::connection);
  } else {
    set(FieldName::connection, options);
  }
}

bool HasKnownCoding(const HeaderFields& fields) {
  const auto coding = fields.find(FieldName::transfer_encoding);
  return coding == fields.end() ||
         (fields.count(FieldName::transfer_encoding) == 1 &&
          iequals(coding->value(), "chunked"));
}

HeaderFields::writer::writer(const HeaderFields& fields,
                             unsigned version,
                             http::verb method) {
  const StringView name = method == http::verb::unknown
                              ? fields.get_method_impl()
                              : http::to_string(method);
  text_.append(name.data(), name.size());
  text_ += ' ' + fields.target_or_reason_ + ' ' + VersionText(version) + "\r\n";
  Append(fields);
}

HeaderFields::writer::writer(const HeaderFields& fields,
                             unsigned version,
                             unsigned status) {
  text_ = VersionText(version) + ' ' + std::to_string(status) + ' ';
  if (fields.target_or_reason_.empty()) {
    const StringView reason =
        http::obsolete_reason(static_cast<http::status>(status));
    text_.append(reason.data(), reason.size());
  } else {
    text_ += fields.target_or_reason_;
  }
  text_ += "\r\n";
  Append(fields);
}

HeaderFields::writer::writer(const HeaderFields& fields) {
  Append(fields);
}

void HeaderFields::writer::Append(const HeaderFields& fields) {
  const std::size_t bytes = std::accumulate(
      fields.begin(), fields.end(), kLineEndBytes,
      [](std::size_t n, const Field& it) { return n + it.line().size(); });
  text_.reserve(text_.size() + bytes);
  for (const Field& it : fields) {
    text_ += it.line();
  }
  text_ += "\r\n";
}

}  // namespace lynxglade::connection::event
