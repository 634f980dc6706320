// Strict decoding of JSON objects: members that were not read are errors.
// Internal to src/version.
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

// Canonical text for storage and digests: sorted members, no spaces, ASCII
// only, so that it can be split at any byte. Invalid UTF-8 is replaced.
std::string Canonical(const json& value);

// Parses a JSON object of at most `max_bytes`.
bool ParseObject(std::string_view text,
                 std::size_t max_bytes,
                 json* value,
                 CodecFault* fault);

// Fills `fault` and returns false.
bool Fail(CodecFault* fault,
          CodecError error,
          std::string where,
          std::string message);

// Appends one reference token, escaped as required, to a JSON pointer.
std::string AppendToPointer(const std::string& where, std::string_view step);

// Reads the members of one object. After the first fault, later reads do
// nothing, so that callers can check ok() or Done() once at the end.
class JsonReader {
 public:
  JsonReader(const json& object, std::string where, CodecFault* fault);
  JsonReader(const JsonReader&) = delete;
  JsonReader& operator=(const JsonReader&) = delete;

  // Reads an id of 1 to kMaxIdBytes letters, digits or ._-:/@+ characters.
  void Id(const char* name, std::string* out);
  // Same as Id(), but the member may be absent or empty.
  void OptionalId(const char* name, std::string* out);
  // Free text; may be absent.
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
  // Calls `read` for each member of an object or element of an array, with its
  // key (or index), value and JSON pointer. The member may be absent.
  using ReadOne = std::function<bool(const std::string& key,
                                     const json& value,
                                     const std::string& where)>;
  void Each(const char* name,
            json::value_t type,
            std::size_t max_count,
            const ReadOne& read);
  // Returns the unchecked member, or nullptr when it is absent.
  const json* Any(const char* name);

  // False after the first fault.
  bool ok() const noexcept { return ok_; }
  // Rejects members that were never read; returns ok().
  bool Done();

 private:
  const json* Find(const char* name, bool required);
  bool Reject(CodecError error, std::string_view name, std::string message);

  const json& object_;
  const std::string where_;
  CodecFault* const fault_;
  std::vector<std::string_view> read_members_;
  bool ok_ = true;
};

// Whether the text is a valid id.
bool IsId(std::string_view text) noexcept;

}  // namespace lynxglade::version::details

#endif  // LYNXGLADE_VERSION_DETAILS_JSON_READER_H_
