// Header fields of an HTTP message, of any size.
//
// Takes the place of Beast's basic_fields, which throws on a name or value of
// more than 64 KiB: whether a header is too large is for the limit of its
// reader to say. Meets the requirements of Beast's Fields, so that Beast's
// messages, serializers and parsers can be used with it.
#ifndef LYNXGLADE_CONNECTION_EVENT_HEADER_FIELDS_H_
#define LYNXGLADE_CONNECTION_EVENT_HEADER_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/optional.hpp>

namespace lynxglade::connection::event {

// Names are compared without case. Fields of one name follow each other, in the
// order in which they were added.
class HeaderFields {
 public:
  using FieldName = boost::beast::http::field;
  using StringView = boost::beast::string_view;

  class Field {
   public:
    Field(FieldName name, StringView name_string, StringView value);

    // FieldName::unknown for a name that Beast does not list.
    FieldName name() const noexcept { return name_; }
    StringView name_string() const noexcept {
      return {line_.data(), name_size_};
    }
    // Without leading and trailing whitespace.
    StringView value() const noexcept;
    // "Name: value", with the end of the line.
    const std::string& line() const noexcept { return line_; }

   private:
    FieldName name_;
    std::size_t name_size_;
    std::string line_;
  };

  using value_type = Field;
  using const_iterator = std::vector<Field>::const_iterator;
  using iterator = const_iterator;

  const_iterator begin() const noexcept { return fields_.begin(); }
  const_iterator end() const noexcept { return fields_.end(); }

  // The first value of the name; empty if there is none.
  StringView operator[](FieldName name) const;
  StringView operator[](StringView name) const;
  const_iterator find(FieldName name) const;
  const_iterator find(StringView name) const;
  std::size_t count(FieldName name) const;
  std::size_t count(StringView name) const;
  std::pair<const_iterator, const_iterator> equal_range(FieldName name) const;
  std::pair<const_iterator, const_iterator> equal_range(StringView name) const;

  // Add a field beside those of the same name.
  void insert(StringView name, StringView value);
  void insert(FieldName name, StringView name_string, StringView value);
  // Replaces all fields of the name.
  void set(FieldName name, StringView value);
  void set(StringView name, StringView value);
  // Returns how many fields were removed.
  std::size_t erase(FieldName name);
  std::size_t erase(StringView name);

  // Serializes a head for Beast's serializer.
  class writer;  // NOLINT(readability-identifier-naming)

 protected:
  // Used by Beast's header and message.
  StringView get_method_impl() const { return method_; }
  StringView get_target_impl() const { return target_or_reason_; }
  StringView get_reason_impl() const { return target_or_reason_; }
  bool get_chunked_impl() const;
  bool get_keep_alive_impl(unsigned version) const;
  bool has_content_length_impl() const;
  void set_method_impl(StringView text) { method_ = std::string(text); }
  void set_target_impl(StringView text) {
    target_or_reason_ = std::string(text);
  }
  void set_reason_impl(StringView text) {
    target_or_reason_ = std::string(text);
  }
  void set_chunked_impl(bool chunked);
  void set_content_length_impl(const boost::optional<std::uint64_t>& length);
  void set_keep_alive_impl(unsigned version, bool keep_alive);

 private:
  std::vector<Field> fields_;
  std::string method_;
  std::string target_or_reason_;
};

// Whether the fields name no transfer coding, or `chunked` alone and once: any
// other would have to be decoded before the body is passed on.
bool HasKnownCoding(const HeaderFields& fields);

class HeaderFields::writer {
 public:
  using const_buffers_type = boost::asio::const_buffer;

  writer(const HeaderFields& fields,
         unsigned version,
         boost::beast::http::verb method);
  writer(const HeaderFields& fields, unsigned version, unsigned status);
  // Fields without a start line.
  explicit writer(const HeaderFields& fields);

  const_buffers_type get() const { return boost::asio::buffer(text_); }

 private:
  void Append(const HeaderFields& fields);

  std::string text_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_HEADER_FIELDS_H_
