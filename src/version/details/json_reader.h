// Strict reading of one JSON object: every member is asked for once, and what
// was not asked for is an error. For .cc files of this folder only.
#ifndef LYNXGLADE_VERSION_DETAILS_JSON_READER_H_
#define LYNXGLADE_VERSION_DETAILS_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "version/configuration_codec.h"

namespace lynxglade::version::details {

using nlohmann::json;

// Text for storage and for digests: members sorted, no spaces, ASCII only, so
// that it may be cut anywhere; bytes that are no UTF-8 are replaced.
std::string Canonical(const json& value);

// Parses an object within a bound of bytes.
bool ParseObject(std::string_view text,
                 std::size_t max_bytes,
                 json* value,
                 CodecFault* fault);

// Fills `fault` and returns false, for `return Fail(...)`.
bool Fail(CodecFault* fault,
          CodecError error,
          std::string where,
          std::string message);

// A path with one more step, escaped as a JSON pointer asks.
std::string Below(const std::string& where, std::string_view step);

// Reads the members of one object. The first fault wins; later reads then do
// nothing, so that callers check ok() once at the end.
class JsonReader {
 public:
  JsonReader(const json& object, std::string where, CodecFault* fault);
  JsonReader(const JsonReader&) = delete;
  JsonReader& operator=(const JsonReader&) = delete;

  // An id: 1 to kMaxIdBytes bytes of letters, digits and ._-:/@+ .
  void Id(const char* name, std::string* out);
  // As Id(), but may be absent or empty.
  void OptionalId(const char* name, std::string* out);
  // Free text within a bound; may be absent.
  void OptionalText(const char* name, std::size_t max_bytes, std::string* out);
  void OptionalFlag(const char* name, bool* out);
  // A finite number in [low, high].
  void Number(const char* name, double low, double high, double* out);
  void OptionalNumber(const char* name, double low, double high, double* out);
  // An integer in [low, high].
  void Integer(const char* name,
               std::int64_t low,
               std::int64_t high,
               std::int64_t* out);
  void OptionalInteger(const char* name,
                       std::int64_t low,
                       std::int64_t high,
                       std::int64_t* out);
  void OptionalIds(const char* name,
                   std::size_t max_count,
                   std::vector<std::string>* out);
  // Lower-case SHA-256 digests.
  void OptionalDigests(const char* name,
                       std::size_t max_count,
                       std::vector<std::string>* out);
  // Calls `read` for each member of an object or element of an array, with
  // its key (or index) and place; absent is empty.
  using ReadOne = std::function<bool(const std::string& key,
                                     const json& value,
                                     const std::string& where)>;
  void Each(const char* name,
            json::value_t type,
            std::size_t max_count,
            const ReadOne& read);
  // The member as it is, or nullptr.
  const json* Any(const char* name);

  // False from the first fault on.
  bool ok() const noexcept { return ok_; }
  // Refuses members that were never asked for; returns ok().
  bool Done();

 private:
  const json* Find(const char* name, bool required);
  bool Refuse(CodecError error, std::string_view name, std::string message);

  const json& object_;
  const std::string where_;
  CodecFault* const fault_;
  std::vector<std::string_view> asked_;
  bool ok_ = true;
};

// Whether the text may name a thing of the configuration.
bool IsId(std::string_view text) noexcept;

}  // namespace lynxglade::version::details

#endif  // LYNXGLADE_VERSION_DETAILS_JSON_READER_H_
